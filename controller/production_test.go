package controller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/partition"
	"junipershelf/protocol"
)

// The messages and records of the production version (deploy/service.toml), written down
// here on their own: whatever becomes of the service's types, these stay as that version
// has them. TestProductionForms holds them against the bytes that it wrote.

type prodTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

type prodNeed struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	CPUs     float64
	Acc      float64
	Mem      float64
}

type prodHeld struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Team     string
	Need     prodNeed
	Tasks    string
	Phase    int
	Stop     bool
	ForS     float64
}

type prodState struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Flavor   string
	Zone     string
	Spot     bool
	Room     prodNeed
	Usable   bool
	Heard    bool
	Leaving  bool
	Warned   bool
	IdleS    float64
	Images   []string
	Fetching []string
	Held     []prodHeld
}

type prodDone struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	RanS     float64
}

type prodMove struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	To       string
}

type prodFault struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	Machine  string
	Cause    string
}

type prodDigest struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	N        uint64
	Base     uint64
	Ver      uint64
	Ack      uint64
	Machines []prodState
	Removed  []string
	Done     []prodDone
	Moves    []prodMove
	Faults   []prodFault
	Gone     []string
	Finished float64
}

type prodSync struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	View     uint64
	Index    int
	Known    uint64
	Digest   prodDigest
}

type prodAllotment struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Job      string
	Tasks    string
	Machine  string
	Group    uint64
}

type prodBuddy struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Under    bool
	Room     prodNeed
}

type prodSyncReply struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack  struct{} `msgpack:",as_array"`
	View      uint64
	OK        bool
	Have      uint64
	Allot     []prodAllotment
	Leave     []string
	Drop      []string
	Stop      []prodTask
	Known     uint64
	Version   uint64
	Fleet     []prodBuddy
	FleetGone []string
	Running   map[string]int
	Hungry    bool
}

type prodEnd struct {
	UID  string `msgpack:"u"`
	Done int    `msgpack:"d,omitempty"`
}

type prodPing struct {
	Node     string    `msgpack:"n"`
	View     uint64    `msgpack:"v"`
	StateMS  int64     `msgpack:"s"`
	Run      uint64    `msgpack:"r,omitempty"`
	Head     uint64    `msgpack:"h,omitempty"`
	From     uint64    `msgpack:"f,omitempty"`
	Ends     []prodEnd `msgpack:"e,omitempty"`
	KnownRun uint64    `msgpack:"kr,omitempty"`
	Known    uint64    `msgpack:"k,omitempty"`
}

type prodForward struct {
	Body []byte `msgpack:"b"`
}

type prodForwardReply struct {
	Code int    `msgpack:"c"`
	Body []byte `msgpack:"b"`
}

type prodMember struct {
	Node string `cbor:"node"`
	Inc  uint64 `cbor:"inc"`
}

type prodView struct {
	Number  uint64       `cbor:"number"`
	Members []prodMember `cbor:"members"`
	Nodes   []string     `cbor:"nodes"`
	Parts   int          `cbor:"parts"`
}

type prodSpec struct {
	UID          string   `cbor:"uid"`
	Queue        string   `cbor:"queue"`
	Owner        string   `cbor:"owner"`
	Shape        string   `cbor:"shape"`
	Urgency      string   `cbor:"urgency"`
	Pieces       int      `cbor:"pieces"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`
	Bundle       string   `cbor:"bundle"`
	SizeGB       float64  `cbor:"size_gb"`
	Flavors      []string `cbor:"flavors"`
	Yard         string   `cbor:"yard"`
	Together     bool     `cbor:"together"`
	Scatter      bool     `cbor:"scatter"`
	Borrowed     bool     `cbor:"borrowed"`
	ExpectedS    float64  `cbor:"expected_s"`
	SnapshotS    float64  `cbor:"snapshot_s"`
	StashS       float64  `cbor:"stash_s"`
	DueS         float64  `cbor:"due_s"`
}

type prodJob struct {
	Spec prodSpec `cbor:"spec"`
	At   int64    `cbor:"at"`
	Done string   `cbor:"done"`
}

type prodEnded struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"`
}

type prodKind struct {
	_      struct{} `cbor:",toarray"`
	Flavor string
	Zone   string
	Spot   bool
}

type prodRecNeed struct {
	_    struct{} `cbor:",toarray"`
	Team string
	CPUs float64
	Acc  float64
	Mem  float64
}

type prodRecJob struct {
	_    struct{} `cbor:",toarray"`
	UID  string
	Need int
}

type prodRecMachine struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Kind  int
	Shift uint64
	Tick  uint64
	Runs  string
}

type prodRecDone struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

type prodShard struct {
	Kinds    []prodKind       `cbor:"k,omitempty"`
	Needs    []prodRecNeed    `cbor:"n,omitempty"`
	Jobs     []prodRecJob     `cbor:"j,omitempty"`
	Base     uint64           `cbor:"b,omitempty"`
	Tries    []uint64         `cbor:"t,omitempty"`
	Machines []prodRecMachine `cbor:"m,omitempty"`
	Done     []prodRecDone    `cbor:"d,omitempty"`
}

type prodLetter struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"`
	N      uint64 `cbor:"n"`
	K      int    `cbor:"k"`
	Of     int    `cbor:"o"`
	Text   string `cbor:"t"`
}

// prodRecords gives the form of the records under a prefix; the others are the cloud's own.
var prodRecords = map[string]any{
	"roster/members/": prodMember{}, "roster/view": prodView{}, "jobs/": prodJob{}, "ended/": prodEnded{},
	"shards/": prodShard{}, "calls/q/": prodLetter{}, "calls/a/": prodLetter{},
}

// prodMessages gives the forms of a call and its answer.
var prodMessages = map[string][2]any{
	"/sync": {prodSync{}, prodSyncReply{}}, "/ping": {prodPing{}, prodPing{}}, "/forward": {prodForward{}, prodForwardReply{}},
}

type (
	marshaller   func(any) ([]byte, error)
	unmarshaller func([]byte, any) error
)

// through decodes bytes into the production form and encodes them from it: what comes out
// is what a node of that version makes of them. It fails if anything is lost on the way.
func through(t *testing.T, what string, form any, raw []byte, marshal marshaller, unmarshal unmarshaller) []byte {
	t.Helper()
	value := reflect.New(reflect.TypeOf(form))
	if err := unmarshal(raw, value.Interface()); err != nil {
		t.Errorf("%s: production cannot read it: %v", what, err)
		return raw
	}
	out, err := marshal(value.Elem().Interface())
	if err != nil {
		t.Errorf("%s: %v", what, err)
		return raw
	}
	if !bytes.Equal(raw, out) {
		var before, after any
		if unmarshal(raw, &before) == nil && unmarshal(out, &after) == nil && !cmp.Equal(before, after) {
			t.Errorf("%s: production loses something of it: %s", what, cmp.Diff(before, after))
		}
	}
	return out
}

func throughRecord(t *testing.T, key string, raw []byte) []byte {
	t.Helper()
	for prefix, form := range prodRecords {
		if strings.HasPrefix(key, prefix) {
			return through(t, key, form, raw, protocol.Marshal, protocol.Unmarshal)
		}
	}
	return raw
}

func throughMessage(t *testing.T, what string, form any, raw []byte) []byte {
	t.Helper()
	return through(t, what, form, raw, msgpack.Marshal, msgpack.Unmarshal)
}

// The forms above read and write what the production version wrote, to the byte.
func TestProductionForms(t *testing.T) {
	for name, form := range map[string]any{
		"member": prodMember{}, "view": prodView{}, "job": prodJob{}, "ended": prodEnded{}, "shard": prodShard{}, "letter": prodLetter{},
		"sync": prodSync{}, "syncreply": prodSyncReply{}, "ping": prodPing{}, "forward": prodForward{}, "forwardreply": prodForwardReply{},
	} {
		golden, err := os.ReadFile(filepath.Join("..", "peer", "testdata", "production", name))
		if err != nil {
			t.Fatal(err)
		}
		marshal, unmarshal := marshaller(msgpack.Marshal), unmarshaller(msgpack.Unmarshal)
		if _, record := map[string]bool{"member": true, "view": true, "job": true, "ended": true, "shard": true, "letter": true}[name]; record {
			marshal, unmarshal = protocol.Marshal, protocol.Unmarshal
		}
		if got := through(t, name, form, golden, marshal, unmarshal); !bytes.Equal(got, golden) {
			t.Errorf("%s: not the bytes of the production version", name)
		}
	}
}

// versions knows which nodes run the production version, and puts all that they say, hear,
// write and read through its forms.
type versions struct {
	t    *testing.T
	mu   sync.Mutex
	old  map[string]bool
	seen map[string]int // records by prefix and messages by path that crossed versions
}

func (v *versions) count(what string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen[what]++
}

// furtherRecords counts those of buckets that have more than one.
const furtherRecords = "further shards"

// check tells whether versions were mixed at all, and more of what is named as well.
func (v *versions) check(t *testing.T, also ...string) {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, what := range append([]string{"/sync", "/ping", "jobs", "shards", "roster"}, also...) {
		if v.seen[what] == 0 {
			t.Errorf("no %s crossed from one version to the other", what)
		}
	}
}

func (v *versions) isOld(node string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.old[node]
}

func (v *versions) set(node string, old bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.old[node] = old
}

// record is the hook of the state service.
func (v *versions) record(node, key string, data []byte) []byte {
	if !v.isOld(node) || len(data) == 0 {
		return data
	}
	prefix, _, _ := strings.Cut(key, "/")
	v.count(prefix)
	if _, chunk, err := partition.ParseShardKey(key); err == nil && chunk > 0 {
		v.count(furtherRecords)
	}
	return throughRecord(v.t, key, data)
}

// innerListener hands the connections over that the translating server makes.
type innerListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	close func() error
	addr  net.Addr
}

func (l *innerListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *innerListener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.done)
		err = l.close()
	})
	return err
}

func (l *innerListener) Addr() net.Addr { return l.addr }

// listen opens a node's internal address behind a server that translates what comes from
// or goes to a node of the production version.
func (v *versions) listen(node string, listen func(network, addr string) (net.Listener, error)) func(network, addr string) (net.Listener, error) {
	return func(network, addr string) (net.Listener, error) {
		outer, err := listen(network, addr)
		if err != nil || !strings.HasSuffix(addr, ":8081") {
			return outer, err
		}
		inner := &innerListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: outer.Addr()}
		transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			select {
			case inner.conns <- theirs:
				return ours, nil
			case <-inner.done:
				return nil, net.ErrClosed
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, DisableKeepAlives: true}
		server := &http.Server{Handler: v.translate(node, transport)}
		inner.close = server.Close
		go func() { _ = server.Serve(outer) }() // until the listener is closed
		return inner, nil
	}
}

// translate passes calls on to a node.
func (v *versions) translate(node string, transport *http.Transport) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		forms, known := prodMessages[r.URL.Path]
		mixed := known && (v.isOld(node) || v.isOld(r.RemoteAddr))
		if mixed {
			v.count(r.URL.Path)
			body = throughMessage(v.t, r.URL.Path, forms[0], body)
		}
		call, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+node+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		call.Header = r.Header.Clone()
		resp, err := transport.RoundTrip(call)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		reply, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if mixed && resp.StatusCode == http.StatusOK {
			reply = throughMessage(v.t, "answer to "+r.URL.Path, forms[1], reply)
		}
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(reply) // the caller sees that it is cut short
	}
}
