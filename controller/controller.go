// Package controller puts the parts of a node together: the wanted state comes
// from the pure deciders, and its loops work out the difference to what is.
package controller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"junipershelf/api"
	"junipershelf/cloud"
	"junipershelf/fleet"
	"junipershelf/internal/httpcall"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/policy"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// Controller is one node.
type Controller struct {
	settings   *settings.Settings
	policy     *policy.Policy
	log        *slog.Logger
	net        Network
	store      *statestore.Client
	cloud      *cloud.Client
	membership *membership.Membership
	peers      map[string]*peer.Client
	teams      map[string]int
	lease      time.Duration // of a worker, with drift and margin

	mu            sync.Mutex
	mirror        *job.Mirror
	view          membership.View
	owners        []int // of the view's parts
	index         int
	partition     *partition.Partition // nil while a view is being read
	scheduler     *scheduler.Scheduler // nil on all but the divider
	planner       *fleet.Planner
	machineTypes  map[string]protocol.MachineType
	finals        map[string]job.Final
	runningTasks  map[string]int
	fleetVersion  uint64 // what the divider has told of the fleet
	placeableWork bool   // work waits that could be placed
	commitWanted  chan struct{}
	commitSettled chan struct{} // closed and renewed after each commit
	loaded        chan struct{} // closed when a part has been read
	drain         []string
	discard       []string
	rentals       int
	peerUp        map[string]peerState
	strays        map[string]time.Time // workers of others that were sent to their owner
	logged        map[string]int
	lastCycle     time.Time // the divider's last
	work          work

	polls chan *poll
	admit *budgets

	ends  endLog           // what this node has told users
	links map[string]*link // and what it knows of the others' logs
	tells chan chan struct{}
}

// work is what the log tells every ten seconds of the budgets.
type work struct {
	turns, syncs, letters, reports, held, commits, merges int
	turn, commit                                          time.Duration // the longest
}

type peerState struct {
	at      time.Time // last answer
	stateMS int64
}

// Network is how a node listens and calls; the zero value is TCP.
type Network struct {
	Listen func(network, addr string) (net.Listener, error)
	Dial   httpcall.Dial
}

// New makes a node.
func New(set *settings.Settings, pol *policy.Policy, log *slog.Logger, nw Network) *Controller {
	if nw.Listen == nil {
		nw.Listen = net.Listen
	}
	// What the state service may fall to without notice is never exceeded.
	own := *set
	own.Facts.State = set.Facts.State.Effective()
	set = &own
	f := set.Facts
	c := &Controller{settings: set, policy: pol, log: log, net: nw, store: statestore.New(nw.Dial, set.Outside.State, f.State),
		cloud: cloud.New(nw.Dial, set.Outside.Cloud, f.Cloud), peers: map[string]*peer.Client{}, teams: map[string]int{},
		machineTypes: map[string]protocol.MachineType{}, finals: map[string]job.Final{}, runningTasks: map[string]int{},
		commitWanted: make(chan struct{}, 1), commitSettled: make(chan struct{}),
		loaded: make(chan struct{}), peerUp: map[string]peerState{}, strays: map[string]time.Time{}, logged: map[string]int{},
		polls: make(chan *poll, maxPolls), admit: newBudgets(f.State), ends: endLog{run: newRun()}, links: map[string]*link{},
		tells: make(chan chan struct{}, maxPolls)}
	for i, t := range f.Teams {
		c.teams[t.Name] = i
	}
	for _, p := range set.Peers {
		c.peers[p.NodeName] = peer.NewClient(nw.Dial, p.Addr)
		c.links[p.NodeName] = &link{}
	}
	c.mirror = job.NewMirror(c.teams)
	names := []string{set.NodeName}
	for _, p := range set.Peers {
		names = append(names, p.NodeName)
	}
	slices.Sort(names)
	// Until a view tells who is there.
	c.store.SetShare(len(names), false)
	c.cloud.SetShare(len(names), false)
	l := f.Workers.LeaseS
	// Steady clocks drift apart by up to 0.05% each way; half a second covers
	// timers that fire late.
	c.lease = settings.Seconds(l*1.002 + 0.5)
	authority, ok := membership.AuthorityLeaseFor(settings.Seconds(l*pol.AuthorityLeaseShare), c.lease, settings.Seconds(f.Workers.CancelS))
	if !ok {
		log.Warn("cancel_s is too short for the lease: a job may outlive its cancellation when controllers are cut off",
			"cancel_s", f.Workers.CancelS, "lease_s", l)
	}
	c.membership = membership.New(set.NodeName, c.store, membership.Config{
		Nodes: names, Buckets: membership.BucketsFor(f.State.WriteRPS, len(names)),
		MemberLease:    settings.Seconds(max(l*pol.MemberLeaseShare, 1)),
		AuthorityLease: authority,
		Interval:       500 * time.Millisecond,
	}, log)
	c.planner = c.newPlanner()
	return c
}

func (c *Controller) newPlanner() *fleet.Planner {
	p := fleet.New(fleet.Config{
		IdleFactor: c.policy.IdleFactor,
		BootFactor: c.policy.BootFactor, BootSlack: settings.Seconds(c.policy.BootSlackS),
		RefusalPause: settings.Seconds(c.policy.RefusalS), OnDemandRank: c.policy.OnDemandRank,
		OnDemandWait: settings.Seconds(c.policy.OnDemandWaitS), ListLag: settings.Seconds(c.settings.Facts.Cloud.ListLagS),
		UnreportedLimit: 2 * c.lease, Settle: settings.Seconds(c.policy.SettleS), SpareRoom: c.policy.SpareRoom,
	})
	for _, f := range c.machineTypes {
		p.Catalogue = append(p.Catalogue, f)
	}
	return p
}

func (c *Controller) capacityOf(flavor string) (job.Resources, bool) {
	f, ok := c.machineTypes[flavor]
	return fleet.Capacity(&f), ok
}

// Run serves until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range []struct {
		addr string
		h    http.Handler
		most int
	}{{c.settings.APIAddr, api.Handler(c), c.settings.Facts.Resources.MaxSockets * 3 / 4}, {c.settings.InternalAddr, peer.Handler(c, c.log), c.settings.Facts.Resources.MaxSockets / 10}} {
		l, err := c.net.Listen("tcp4", s.addr)
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: s.h, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second,
			WriteTimeout: 15 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 8 << 10,
			ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug)}
		ll := &limitedListener{Listener: l, slots: make(chan struct{}, max(s.most, 8))}
		g.Go(func() error { return srv.Serve(ll) })
		g.Go(func() error { <-ctx.Done(); return srv.Close() })
	}
	for _, loop := range []func(context.Context){c.membership.Run, c.viewLoop, c.mirrorLoop, c.tickLoop, c.commitLoop, c.compactionLoop,
		c.syncLoop, c.mailboxLoop, c.scheduleLoop, c.returnLoop, c.catalogueLoop, c.listLoop, c.pingLoop, c.tellLoop, c.pollLoop} {
		g.Go(func() error { loop(ctx); return ctx.Err() })
	}
	return g.Wait()
}

// limited accepts no more connections than it has slots for, so that the
// process keeps sockets for its own calls.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, free: sync.OnceFunc(func() { <-l.slots })}, nil
}

type limitedConn struct {
	net.Conn
	free func()
}

func (h *limitedConn) Close() error {
	defer h.free()
	return h.Conn.Close()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// viewLoop reads the records of each new view and sets its part up.
func (c *Controller) viewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.membership.Changed():
		case <-time.After(time.Second):
		}
		view, me, seen := c.membership.Current()
		c.mu.Lock()
		same := view.Number == c.view.Number && (c.partition != nil || c.index < 0)
		if !same {
			// A view change voids every queue.
			c.partition, c.scheduler = nil, nil
			c.view, c.index, c.owners, c.fleetVersion = view, view.IndexOf(me), view.BucketOwners(), 0
			clear(c.runningTasks)
			c.store.SetShare(len(view.Members), c.index == 0)
			c.cloud.SetShare(len(view.Members), c.index == 0)
			select {
			case <-c.loaded:
				c.loaded = make(chan struct{})
			default:
			}
		}
		c.mu.Unlock()
		if same || view.IndexOf(me) < 0 {
			continue
		}
		if err := c.load(ctx, view, seen); err != nil {
			c.logFailure("reading a view's records failed", err)
			if !sleep(ctx, 200*time.Millisecond) {
				return
			}
			// The next turn tries again.
			c.mu.Lock()
			c.view.Number = 0
			c.mu.Unlock()
		}
	}
}

func (c *Controller) load(ctx context.Context, view membership.View, seen time.Time) error {
	if err := c.relist(ctx); err != nil {
		return err
	}
	entries, _, err := c.store.List(ctx, statestore.PriorityMembership, partition.ShardPrefix)
	if err != nil {
		return err
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.Number != view.Number {
		return nil
	}
	f := c.settings.Facts
	p := partition.New(partition.Config{
		Lease: c.lease, AuthorityLease: c.membership.Config().AuthorityLease, ReportInterval: settings.Seconds(f.Workers.ReportS),
		MirrorLimit: settings.Seconds(c.policy.StaleS), Buddies: c.policy.Buddies, Threshold: c.policy.Threshold,
		LocalWait: settings.Seconds(c.policy.LocalWaitS), MaxAhead: c.policy.MaxBacklog,
		SilentLimit:        settings.Seconds(f.Workers.LeaseS * c.policy.SilentShare),
		TransactionChanges: f.State.TxnOps, ValueBytes: c.store.ValueBytes(), BucketOf: view.BucketOf,
		CacheGB: func(f string) float64 { return c.machineTypes[f].CacheGB },
	}, view.Number, c.index, seen, c.capacityOf, c.mirror)
	var div *scheduler.Scheduler
	if c.index == 0 {
		teams := make([]scheduler.Team, len(f.Teams))
		for i, t := range f.Teams {
			teams[i] = scheduler.Team{Name: t.Name, Guarantee: job.Resources{CPUs: t.CPUs, Accelerators: t.GPUs},
				Limit: job.Resources{CPUs: t.CPUsMax, Accelerators: t.GPUsMax}, Weight: c.policy.TeamWeights[t.Name]}
		}
		div = scheduler.New(scheduler.Config{
			MaxBacklog: c.policy.MaxBacklog, AheadWindow: settings.Seconds(c.policy.CommitAheadS), Aging: settings.Seconds(c.policy.AgingS), StarvationAfter: settings.Seconds(c.policy.StarvationS),
			FailurePause: settings.Seconds(c.policy.FaultPauseS), MaxFailurePause: settings.Seconds(c.policy.FaultMaxS),
			SickAfter: c.policy.SickAfter, ValueBytes: c.store.ValueBytes(),
			Targets: targets(f.Objectives), GuaranteeWithin: guaranteeWithin(f.Objectives), PreemptAfter: settings.Seconds(c.policy.PreemptS), Settle: settings.Seconds(c.policy.SettleS),
			MaxPreemptionLoss: settings.Seconds(c.policy.PreemptLossS), ImagePatience: c.policy.ImagePatience, PullGBPerS: c.fetchRate,
		}, teams, len(view.Members), c.capacityOf, c.mirror)
	}
	owned := make([][]partition.Record, len(view.Members))
	var unreadable error
	for _, e := range entries {
		n, rec, err := decodeShard(e.Key, e.Data)
		if err != nil {
			c.logUndecodable(e.Key, "", err)
			unreadable = errors.Join(unreadable, err)
			continue
		}
		o := view.OwnerOfBucket(n)
		if o == c.index {
			if err := p.LoadShard(e.Key, rec, e.Revision, now); err != nil {
				return err
			}
		}
		owned[o] = append(owned[o], rec)
	}
	if unreadable != nil {
		return unreadable // what stands there is held by somebody: it counts against limits
	}
	for o, records := range owned {
		if div == nil {
			break
		}
		states, done, err := partition.StatesFromRecords(records, c.capacityOf, now)
		if err != nil {
			return err
		}
		div.Inherit(o, states, done, now)
	}
	c.partition, c.scheduler = p, div
	if div != nil {
		c.planner = c.newPlanner()
	}
	close(c.loaded)
	machines, tasks, unmerged := p.Load()
	c.log.Info("part taken", "view", view.Number, "index", c.index, "shards", len(entries), "machines", machines,
		"tasks", tasks, "unmerged", unmerged, "divider", c.index == 0, "after", time.Since(seen))
	return nil
}

// decodeShard decodes a record of placements and checks all that it holds.
func decodeShard(key string, data []byte) (bucket int, rec partition.Record, err error) {
	if bucket, _, err = partition.ParseShardKey(key); err != nil {
		return 0, rec, &protocol.DecodeError{Source: key, Err: err}
	}
	if err = protocol.DecodeRecord(key, data, &rec); err != nil {
		return 0, rec, err
	}
	if err = rec.Check(); err != nil {
		return 0, rec, &protocol.DecodeError{Source: key, Err: err}
	}
	return bucket, rec, nil
}

// pull is how fast machines fetch images, the slowest type's rate.
func (c *Controller) fetchRate() float64 {
	least := 0.0
	for _, f := range c.machineTypes {
		if f.PullGBPerS > 0 && (least == 0 || f.PullGBPerS < least) {
			least = f.PullGBPerS
		}
	}
	return least
}

// promise is within what time work inside a guarantee is to start: the nearest aim.
func guaranteeWithin(all []settings.Objective) (least time.Duration) {
	for _, o := range all {
		if w := settings.Seconds(o.WithinS); o.Kind == settings.ObjectiveGuarantee && w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return least
}

// targets puts the settings' objectives by class.
func targets(all []settings.Objective) map[string][]scheduler.Target {
	out := map[string][]scheduler.Target{}
	for _, o := range all {
		t := scheduler.Target{Start: o.Kind == settings.ObjectiveWait, Within: settings.Seconds(o.WithinS)}
		switch o.Kind {
		case settings.ObjectiveDeadline:
			t.Times = o.Times
		case settings.ObjectiveWait, settings.ObjectiveFinished:
		default:
			continue // a guarantee is no target of one class, see promise
		}
		out[o.Class] = append(out[o.Class], t)
	}
	return out
}

// relist reads all live jobs anew.
func (c *Controller) relist(ctx context.Context) error {
	_, err := c.listJobs(ctx)
	return err
}

func (c *Controller) listJobs(ctx context.Context) (uint64, error) {
	sent := time.Now()
	entries, epoch, err := c.store.List(ctx, statestore.PriorityMembership, job.Key(""))
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	in := make(map[string]bool, len(entries))
	for _, e := range entries {
		uid := e.Key[len(job.Key("")):]
		in[uid] = true
		c.takeJob(uid, e.Data, e.Revision, now)
	}
	for uid, l := range c.mirror.Jobs {
		if !in[uid] && l.Revision <= epoch {
			c.mirror.Remove(uid, now)
		}
	}
	c.mirrorRefreshed(sent)
	return epoch, nil
}

// refreshed notes that the mirror shows all that stood in the state service at a time.
func (c *Controller) mirrorRefreshed(at time.Time) {
	c.mirror.SetFreshAsOf(at)
	c.membership.CancellationsKnownAsOf(at)
}

func (c *Controller) takeJob(uid string, data []byte, stamp uint64, now time.Time) {
	rec, err := job.Decode(uid, data)
	if err == nil {
		err = c.mirror.Set(uid, rec, stamp, now)
	}
	if err != nil {
		c.mirror.SetUnreadable(uid, now)
		c.logUndecodable(job.Key(uid), "", err)
	}
}

// logUndecodable logs what cannot be decoded with its key or kind and its sender, once
// for each. The caller holds the lock.
func (c *Controller) logUndecodable(source, sender string, err error) {
	if c.firstTime("undecodable " + source + " " + sender) {
		c.log.Error("cannot be decoded", "source", source, "sender", sender, "err", err)
	}
}

// logFailure logs why a call failed: as an error if its answer cannot be decoded.
func (c *Controller) logFailure(what string, err error) {
	var undecodable *protocol.DecodeError
	if !errors.As(err, &undecodable) {
		c.log.Debug(what, "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logUndecodable(undecodable.Source, undecodable.Sender, err)
}

// mirrorLoop keeps the mirror of the live jobs fresh with a watch.
func (c *Controller) mirrorLoop(ctx context.Context) {
	var epoch uint64
	for ctx.Err() == nil {
		if epoch == 0 {
			var err error
			if epoch, err = c.listJobs(ctx); err != nil {
				epoch = 0
				sleep(ctx, 300*time.Millisecond)
				continue
			}
		}
		sent := time.Now()
		r, err := c.store.Watch(ctx, job.Key(""), epoch, 2*time.Second)
		if err != nil {
			if err == statestore.ErrRevisionCompacted {
				epoch = 0
			}
			sleep(ctx, 250*time.Millisecond)
			continue
		}
		c.mu.Lock()
		now := time.Now()
		for _, n := range r.Events {
			if n.Set != "" {
				c.takeJob(n.Set[len(job.Key("")):], n.Data, n.Revision, now)
			} else if len(n.Delete) > len(job.Key("")) {
				c.mirror.Remove(n.Delete[len(job.Key("")):], now)
			}
		}
		c.mirrorRefreshed(sent)
		c.mu.Unlock()
		epoch = max(epoch, r.StoreRevision)
		// Changes come in bunches: one answer for many costs less.
		sleep(ctx, 150*time.Millisecond)
	}
}

func (c *Controller) tickLoop(ctx context.Context) {
	for sleep(ctx, 200*time.Millisecond) {
		c.mu.Lock()
		if c.partition != nil {
			c.partition.Tick(time.Now())
			signal(c.commitWanted)
		}
		c.mu.Unlock()
	}
}

// commitLoop writes placements, removals and finished tasks, one transaction at
// a time, each guarded on the view and on all that it changes.
func (c *Controller) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.commitWanted:
		}
		for c.commitOnce(ctx) && ctx.Err() == nil {
			// What comes up within a moment shares the next transaction.
			sleep(ctx, 100*time.Millisecond)
		}
	}
}

func (c *Controller) commitOnce(ctx context.Context) bool {
	c.mu.Lock()
	p, view := c.partition, c.view
	var cm *partition.Commit
	if p != nil && p.View() == view.Number {
		// Few at once while the limit is short: so the most pressing ones go next.
		cm = p.NextCommit(time.Now(), max(min(c.store.ChangesAvailable(), c.store.MaxChanges()), 1))
	}
	c.mu.Unlock()
	if cm == nil {
		return false
	}
	m, err := c.transaction(view, cm)
	if err != nil {
		c.log.Error("commit cannot be encoded", "err", err)
		return false
	}
	unknown, tries, began := false, 0, time.Now()
	for class := statestore.PriorityPlacement; ctx.Err() == nil; {
		epoch, err := c.store.Commit(ctx, class, m)
		class = retryClass(err)
		if c.log.Enabled(ctx, slog.LevelDebug) {
			c.log.Debug("commit", "shards", len(cm.Shards), "size", cm.Bytes(), "took", time.Since(began), "err", err)
		}
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) {
			return c.reconcileCommit(ctx, p, cm, conflict)
		}
		if errors.Is(err, statestore.ErrTooLarge) {
			// As it stands it never passes.
			c.mu.Lock()
			p.CommitTooLarge(cm, time.Now())
			c.mu.Unlock()
			c.log.Info("a commit is too large", "shards", len(cm.Shards), "size", cm.Bytes())
			return false
		}
		if err == nil {
			c.mu.Lock()
			p.CommitApplied(cm, epoch, time.Now())
			c.work.commits++
			c.work.commit = max(c.work.commit, time.Since(began))
			c.signalSettled()
			c.mu.Unlock()
			return true
		}
		if c.stale(p) {
			return false
		}
		if !wasRefused(err) {
			unknown = true
		}
		// It may have been executed, or may be yet: the same transaction again
		// settles it, since its guards hold only once. One that was refused goes
		// out again as well, unless it waits for so long that more has come up.
		tries++
		if !unknown && tries >= maxRefusals {
			// Smaller ones find room in the limit that large ones do not.
			c.mu.Lock()
			p.CommitRefused(cm)
			p.ShrinkCommits()
			c.mu.Unlock()
			signal(c.commitWanted)
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// maxRefusals is how often a transaction that was surely not carried out is sent as it is;
// then one is made up anew, of what is wanted by then and as large as may pass.
const maxRefusals = 3

// retryClass is how pressing a transaction is when it goes out again. Only the first try
// pays for itself, since in an outage the others would run up a debt; but one that found
// no room in the limits waits for its turn like any other.
func retryClass(err error) statestore.Priority {
	if errors.Is(err, statestore.ErrRateLimited) {
		return statestore.PriorityPlacement
	}
	return statestore.PriorityUser
}

// wake lets the reports that wait for a commit look again.
func (c *Controller) signalSettled() {
	close(c.commitSettled)
	c.commitSettled = make(chan struct{})
}

func (c *Controller) stale(p *partition.Partition) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partition != p
}

func (c *Controller) transaction(view membership.View, cm *partition.Commit) (protocol.Transaction, error) {
	m := protocol.Transaction{Guards: []protocol.Guard{{Key: membership.ViewKey, Revision: view.Revision}}}
	set := func(key string, v any) error {
		raw, err := protocol.Marshal(v)
		m.Changes = append(m.Changes, protocol.Change{Set: key, Data: raw})
		return err
	}
	for _, w := range cm.Shards {
		m.Guards = append(m.Guards, protocol.Guard{Key: w.Key, Revision: w.Revision})
		if w.Record == nil {
			m.Changes = append(m.Changes, protocol.Change{Delete: w.Key})
		} else if err := set(w.Key, w.Record); err != nil {
			return m, err
		}
	}
	return m, nil
}

// reread reads a key for as long as the part is ours.
func (c *Controller) reread(ctx context.Context, p *partition.Partition, key string) (protocol.Entry, bool) {
	for ctx.Err() == nil && !c.stale(p) {
		e, err := c.store.Get(ctx, statestore.PriorityPlacement, key)
		if err == nil {
			return e, true
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return protocol.Entry{}, false
}

// mergeLoop is the divider's: it takes finished tasks over into the jobs' records
// and ends the jobs that are complete.
func (c *Controller) compactionLoop(ctx context.Context) {
	for sleep(ctx, 200*time.Millisecond) {
		c.mu.Lock()
		p, d, view := c.partition, c.scheduler, c.view
		var ms []scheduler.Compaction
		if p != nil && d != nil {
			ms = d.Compactions(max(c.store.MaxChanges()/2, statestore.MinChanges))
			c.work.merges += len(ms)
		}
		c.mu.Unlock()
		if len(ms) > 0 {
			err := c.compact(ctx, p, view, ms)
			switch {
			case errors.Is(err, statestore.ErrTooLarge):
				c.log.Info("a merge is too large", "jobs", len(ms))
				sleep(ctx, 5*time.Second)
			case err != nil:
				c.log.Error("merge cannot be encoded", "err", err)
			}
		}
	}
}

func (c *Controller) compact(ctx context.Context, p *partition.Partition, view membership.View, ms []scheduler.Compaction) error {
	m := protocol.Transaction{Guards: []protocol.Guard{{Key: membership.ViewKey, Revision: view.Revision}}}
	for _, x := range ms {
		m.Guards = append(m.Guards, protocol.Guard{Key: job.Key(x.UID), Revision: x.Revision})
		key, v := job.Key(x.UID), any(x.Record)
		if x.Final != nil {
			m.Changes = append(m.Changes, protocol.Change{Delete: key})
			key, v = job.FinalKey(x.UID), *x.Final
		}
		raw, err := protocol.Marshal(v)
		if err != nil {
			return err
		}
		m.Changes = append(m.Changes, protocol.Change{Set: key, Data: raw})
	}
	unknown, refused := false, 0
	for class := statestore.PriorityPlacement; ctx.Err() == nil && !c.stale(p); {
		epoch, err := c.store.Commit(ctx, class, m)
		class = retryClass(err)
		var conflict *statestore.Conflict
		switch {
		case err == nil:
			now := time.Now()
			for _, x := range ms {
				if x.Final != nil {
					c.rememberFinal(x.UID, *x.Final)
					c.log.Debug("job is done", "job", x.UID, "class", x.Record.Spec.Class, "tasks", x.Final.Done,
						"expected_s", x.Record.Spec.ExpectedS, "took_s", float64(now.UnixMilli()-x.Record.SubmittedMS)/1000)
					continue
				}
				c.mu.Lock()
				_ = c.mirror.Set(x.UID, x.Record, epoch, now)
				c.mu.Unlock()
			}
			return nil
		case errors.As(err, &conflict):
			// Cancelled meanwhile, or this transaction passed unseen.
			for _, k := range conflict.Failed {
				if k == membership.ViewKey {
					c.membership.ObserveView(view.Number + 1)
					return nil
				}
			}
			for _, k := range conflict.Failed {
				e, ok := c.reread(ctx, p, k)
				if !ok {
					return nil
				}
				uid := k[len(job.Key("")):]
				c.mu.Lock()
				if e.Revision == 0 {
					c.mirror.Remove(uid, time.Now())
				} else {
					c.takeJob(uid, e.Data, e.Revision, time.Now())
				}
				c.mu.Unlock()
			}
			return nil
		case errors.Is(err, statestore.ErrTooLarge):
			return err
		}
		if unknown = unknown || !wasRefused(err); !unknown {
			if refused++; refused >= maxRefusals {
				return nil // a smaller one is made up, which may find room
			}
		}
		// Its guards hold once at most, so sending it again settles it.
		sleep(ctx, 100*time.Millisecond)
	}
	return nil
}

// resolve reads what a failed commit touched and settles it from that.
func (c *Controller) reconcileCommit(ctx context.Context, p *partition.Partition, cm *partition.Commit, conflict *statestore.Conflict) bool {
	for _, k := range conflict.Failed {
		if k == membership.ViewKey {
			c.log.Info("view is over", "view", p.View())
			c.membership.ObserveView(p.View() + 1)
			c.mu.Lock()
			if c.partition == p {
				c.partition, c.scheduler = nil, nil
			}
			c.signalSettled()
			c.mu.Unlock()
			return false
		}
	}
	failed := map[string]bool{}
	for _, k := range conflict.Failed {
		failed[k] = true
	}
	for _, w := range cm.Shards {
		if !failed[w.Key] {
			continue
		}
		e, ok := c.reread(ctx, p, w.Key)
		if !ok {
			return false
		}
		var rec *partition.Record
		if e.Revision != 0 {
			_, decoded, err := decodeShard(w.Key, e.Data)
			if err != nil {
				c.logFailure("shard cannot be read", err)
				c.readAnew(p)
				return false
			}
			rec = &decoded
		}
		c.mu.Lock()
		err := p.ReconcileShard(cm, w.Key, rec, e.Revision, time.Now())
		c.mu.Unlock()
		if err != nil {
			c.logFailure("shard cannot be read", &protocol.DecodeError{Source: w.Key, Err: err})
			c.readAnew(p)
			return false
		}
	}
	c.mu.Lock()
	p.CommitRefused(cm)
	p.ShrinkCommits()
	c.signalSettled()
	c.mu.Unlock()
	return true
}

// readAnew gives a part up whose records could not be settled: what stands in them is not
// known. The node joins anew, so that it takes its part in a later view: within the same
// one it would forget which machines it has answered and which starts are on their way.
func (c *Controller) readAnew(p *partition.Partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partition != p {
		return
	}
	c.partition, c.scheduler = nil, nil
	c.signalSettled()
	c.membership.Rejoin()
}
