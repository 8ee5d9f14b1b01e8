package controller_test

import (
	"fmt"
	"sync"
	"time"
)

func leaderCutFromStateAndPeersWhileOthersCancel(d *day, u *users) map[string]int {
	u.submit(spec("wk-1", "blue", 16))
	u.submit(spec("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	leader, others := d.leader()
	d.cutOff(func(h string) bool { return h == leader }, func(h string) bool { return h == "state" || isNode(h) })
	time.Sleep(time.Second)
	d.cancel(others[0], "wk-1")
	u.look("wk-1", nil)
	time.Sleep(12 * time.Second)
	d.cancel(others[1], "wk-2")
	for range 8 {
		u.look("wk-1", nil)
		u.look("wk-2", nil)
		time.Sleep(4 * time.Second)
	}
	d.net.SetBlocked(nil)
	return map[string]int{"wk-1": 16, "wk-2": 12}
}

func slowStateServiceThenRefusingTheLeaderThenAll(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return long }
	u.submit(spec("wk-1", "blue", 16))
	u.submit(spec("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	d.store.SetLatency(700 * time.Millisecond)
	time.Sleep(10 * time.Second)
	u.cancel("wk-1", 2)
	u.look("wk-1", nil)
	leader, _ := d.leader()
	d.store.SetOutage(func(from string) bool { return from == leader })
	time.Sleep(2 * time.Second)
	u.cancel("wk-2", 1)
	d.store.SetOutage(func(string) bool { return true })
	time.Sleep(40 * time.Second)
	u.look("wk-2", nil)
	d.store.SetOutage(nil)
	d.store.SetLatency(0)
	return map[string]int{"wk-1": 16, "wk-2": 12}
}

func cancellationsAsTheServiceRefusesTheLeader(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 4 * time.Minute }
	jobs := map[string]int{}
	for i := range 6 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 5
		u.submit(spec(uid, []string{"red", "blue"}[i%2], 5))
	}
	time.Sleep(25 * time.Second)
	leader, _ := d.leader()
	d.store.SetOutage(func(from string) bool { return from == leader })
	var all sync.WaitGroup
	for i := range 6 {
		all.Go(func() {
			time.Sleep(time.Duration(i*150) * time.Millisecond)
			u.cancel(fmt.Sprintf("wk-%d", i+1), i)
		})
	}
	time.Sleep(time.Second)
	d.store.SetOutage(func(string) bool { return true })
	time.Sleep(42 * time.Second)
	d.store.SetOutage(nil)
	all.Wait()
	return jobs
}

func cancellationsAsWorkChangesHands(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return long }
	jobs := map[string]int{}
	for i := range 9 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 4
		u.submit(spec(uid, []string{"red", "blue"}[i%2], 4))
	}
	time.Sleep(25 * time.Second)
	for round := range 3 {
		var all sync.WaitGroup
		for k := range 2 {
			all.Go(func() {
				time.Sleep(time.Duration(500+2500*k) * time.Millisecond)
				uid := fmt.Sprintf("wk-%d", round*3+k+1)
				u.cancel(uid, round)
				u.look(uid, nil)
			})
		}
		d.crash(d.nodes[round], 4*time.Second)
		all.Wait()
		time.Sleep(6 * time.Second)
	}
	return jobs
}

func allControllersAwayForLongerThanALease(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return long }
	u.submit(spec("wk-1", "blue", 24))
	u.submit(spec("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	u.cancel("wk-2", 0)
	var all sync.WaitGroup
	for _, n := range d.nodes {
		all.Go(func() { d.crash(n, 14*time.Second) })
	}
	all.Wait()
	return map[string]int{"wk-1": 24, "wk-2": 12}
}

func handOverAndBackAllEndOneReturns(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
	u.submit(spec("wk-1", "blue", 60))
	u.submit(spec("wk-2", "red", 36))
	time.Sleep(22 * time.Second)
	for _, away := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		for range 2 {
			leader, _ := d.leader()
			d.crash(leader, away)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	u.cancel("wk-2", 0)
	var all sync.WaitGroup
	for i, n := range d.nodes {
		all.Go(func() { d.crash(n, time.Duration(300+9000*i)*time.Millisecond) })
	}
	time.Sleep(4 * time.Second)
	u.look("wk-2", nil)
	all.Wait()
	return map[string]int{"wk-1": 60, "wk-2": 36}
}

func tenLeadersInTwoMinutesAlsoInAnOutage(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
	u.submit(spec("wk-1", "blue", 80))
	u.submit(spec("wk-2", "red", 40))
	time.Sleep(20 * time.Second)
	for i := range 10 {
		leader, _ := d.leader()
		d.crash(leader, time.Duration(100+700*(i%4))*time.Millisecond)
		switch i {
		case 3, 7:
			d.store.SetOutage(func(string) bool { return true })
		case 5, 8:
			d.store.SetOutage(nil)
		}
		time.Sleep(8 * time.Second)
	}
	u.cancel("wk-2", 1)
	return map[string]int{"wk-1": 80, "wk-2": 40}
}
