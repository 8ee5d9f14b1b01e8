package membership

import (
	"errors"
	"strings"

	"junipershelf/protocol"
)

// prefix is common to the keys of the view and of the members, so that one read confirms the view
// and returns the live members.
const prefix = "roster/"

// ViewKey is the key of the current view. Transactions of owners and of the leader are guarded on
// its revision, so that none of an earlier view is committed.
const ViewKey = prefix + "view"

// memberPrefix is the prefix of the keys of member records; the node's name follows.
const memberPrefix = prefix + "members/"

var (
	errNoViewNumber        = errors.New("view has no number")
	errNoNodeOrIncarnation = errors.New("member has no node name or no incarnation")
)

// decodeRecords decodes the view and the live members. If any record cannot be decoded it returns
// only a *protocol.DecodeError: the record may be that of a live member, which a view proposed from
// the other records would leave out.
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

// decodeView decodes and checks the record of the view.
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

// decodeMember decodes and checks the record of a member.
func decodeMember(e protocol.Entry) (member Member, err error) {
	if err := protocol.DecodeRecord(e.Key, e.Data, &member); err != nil {
		return Member{}, err
	}
	if member.Node == "" || member.Incarnation == 0 {
		return Member{}, &protocol.DecodeError{Source: e.Key, Err: errNoNodeOrIncarnation}
	}
	return member, nil
}
