package membership

import (
	"errors"
	"strings"

	"junipershelf/protocol"
)

// prefix is common to the view and the members, so that one read confirms the view and shows
// who is there.
const prefix = "roster/"

// ViewKey is the key of the present view. Transactions of owners and of the leader are guarded
// on its revision: none of an earlier view passes.
const ViewKey = prefix + "view"

// memberPrefix is the prefix of the member records; the node's name follows.
const memberPrefix = prefix + "members/"

var (
	errNoViewNumber        = errors.New("no view number")
	errNoNodeOrIncarnation = errors.New("no name or no incarnation")
)

// decodeRecords decodes the view and the live members. One record that cannot be decoded fails
// all, by a *protocol.DecodeError: it may be a member, and no view is made without knowing.
func decodeRecords(entries []protocol.Entry) (view View, live []Member, err error) {
	for _, e := range entries {
		switch {
		case e.Key == ViewKey:
			if view, err = decodeView(e); err != nil {
				return View{}, nil, err
			}
		case strings.HasPrefix(e.Key, memberPrefix):
			member, err := decodeMember(e)
			if err != nil {
				return View{}, nil, err
			}
			live = append(live, member)
		}
	}
	return view, live, nil
}

// decodeView decodes the record of the view.
func decodeView(e protocol.Entry) (view View, err error) {
	if err := protocol.DecodeRecord(e.Key, e.Data, &view); err != nil {
		return View{}, err
	}
	if view.Number == 0 {
		return View{}, &protocol.DecodeError{Source: e.Key, Err: errNoViewNumber}
	}
	view.Revision = e.Revision
	return view, nil
}

// decodeMember decodes the record of a member.
func decodeMember(e protocol.Entry) (member Member, err error) {
	if err := protocol.DecodeRecord(e.Key, e.Data, &member); err != nil {
		return Member{}, err
	}
	if member.Node == "" || member.Incarnation == 0 {
		return Member{}, &protocol.DecodeError{Source: e.Key, Err: errNoNodeOrIncarnation}
	}
	return member, nil
}
