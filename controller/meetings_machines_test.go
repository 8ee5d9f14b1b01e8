package controller_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func muteMachines(d *day, u *users) map[string]int {
	u.submit(spec("wk-1", "blue", 30))
	u.submit(spec("wk-2", "red", 20))
	time.Sleep(25 * time.Second)
	d.net.SetBlocked(func(a, b string) bool { return some(a) && isNode(b) })
	u.cancel("wk-2", 0)
	time.Sleep(30 * time.Second)
	d.net.SetBlocked(nil)
	return map[string]int{"wk-1": 30, "wk-2": 20}
}

func zoneboundJobsLoseMachines(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
	for i, change := range []string{"together", "scatter", "yard"} {
		m := spec(fmt.Sprintf("wk-%d", i+1), []string{"blue", "red", "blue"}[i], 10)
		m[change] = true
		if change == "yard" {
			m["yard"] = "west"
		}
		u.submit(m)
	}
	for range 6 {
		time.Sleep(8 * time.Second)
		if ids := d.cloud.Machines(); len(ids) > 0 {
			d.cloud.Reclaim(ids[len(ids)/2])
			d.cloud.Pause(ids[0], 15*time.Second)
		}
	}
	return map[string]int{"wk-1": 10, "wk-2": 10, "wk-3": 10}
}

func tasksThatEndFarApartAcrossAChangeOfLeader(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(piece string) time.Duration {
		return time.Duration(1+20*int(piece[len(piece)-1]-'0')) * time.Second
	}
	jobs := map[string]int{}
	for i := range 8 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 2 + i%2
		u.submit(spec(uid, []string{"red", "blue"}[i%2], jobs[uid]))
	}
	for range 3 {
		time.Sleep(12 * time.Second)
		leader, _ := d.leader()
		d.crash(leader, 3*time.Second)
		for uid := range jobs {
			u.look(uid, nil)
		}
	}
	return jobs
}

func commandsAndAnswersHeldUpForSeconds(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 6 * time.Second }
	u.submit(spec("wk-1", "blue", 100))
	u.submit(spec("wk-2", "red", 60))
	for i := range 8 {
		time.Sleep(5 * time.Second)
		d.net.SetBlocked(func(a, b string) bool { return isNode(a) && some(b) })
		if i == 4 {
			u.cancel("wk-2", 1)
		}
		time.Sleep(3500 * time.Millisecond)
		d.net.SetBlocked(nil)
	}
	return map[string]int{"wk-1": 100, "wk-2": 60}
}

func oldReportsOfEarlierSessionsAndAttempts(d *day, u *users) map[string]int {
	rng := rand.New(rand.NewPCG(9, 9))
	d.cloud.DuplicateHeartbeat = func() (time.Duration, bool) {
		return time.Duration(2+30*rng.Float64()) * time.Second, rng.Float64() < 0.4
	}
	d.cloud.RunFor = func(string) time.Duration { return 8 * time.Second }
	u.submit(spec("wk-1", "blue", 60))
	u.submit(spec("wk-2", "red", 40))
	for range 4 {
		time.Sleep(10 * time.Second)
		if ids := d.cloud.Machines(); len(ids) > 1 {
			d.cloud.Pause(ids[0], 12*time.Second)
			d.cloud.Pause(ids[1], 6*time.Second)
		}
	}
	return map[string]int{"wk-1": 60, "wk-2": 40}
}

func oldReportsAtEveryControllerAsANewLeaderBegins(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
	u.submit(spec("wk-1", "blue", 60))
	u.submit(spec("wk-2", "red", 36))
	for range 3 {
		time.Sleep(10 * time.Second)
		d.cloud.WithLock(func() { d.cloud.RecordHeartbeats = true })
		time.Sleep(8 * time.Second)
		leader, others := d.leader()
		go d.crash(leader, 5*time.Second)
		for now := leader; now == leader; now, _ = d.leader() {
			time.Sleep(20 * time.Millisecond)
		}
		d.cloud.ReplayHeartbeats(others...)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	return map[string]int{"wk-1": 60, "wk-2": 36}
}

func aZoneCutOffWithAControllerWhileJobsAreCancelled(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 2 * time.Minute }
	u.submit(spec("wk-1", "blue", 18))
	u.submit(spec("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	leader, others := d.leader()
	in := func(h string) bool { return h == leader || some(h) }
	d.net.SetBlocked(func(a, b string) bool { return in(a) != in(b) && a != "user" && b != "user" })
	d.cancel(others[0], "wk-1")
	for range 8 {
		u.look("wk-1", nil)
		time.Sleep(5 * time.Second)
	}
	d.net.SetBlocked(nil)
	return map[string]int{"wk-1": 18, "wk-2": 12}
}

func leaderEndsWhileMachinesAreCutOffOrDeaf(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return long }
	u.submit(spec("wk-1", "blue", 20))
	u.submit(spec("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	d.net.SetBlocked(func(a, b string) bool { return some(a) && isNode(b) })
	leader, _ := d.leader()
	d.crash(leader, time.Second)
	time.Sleep(8 * time.Second)
	d.net.SetBlocked(nil)
	d.cloud.WithLock(func() {
		for _, id := range []string{"i-000001", "i-000002", "i-000003"} {
			d.cloud.UnreachableForReplies[id] = true
		}
	})
	leader, _ = d.leader()
	d.crash(leader, time.Second)
	u.cancel("wk-2", 1)
	time.Sleep(25 * time.Second)
	d.cloud.WithLock(func() { clear(d.cloud.UnreachableForReplies) })
	return map[string]int{"wk-1": 20, "wk-2": 12}
}

func teamsAtTheirLimitsMachinesCutOffOrHungLeaderChanges(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 40 * time.Second }
	jobs := map[string]int{}
	for i := range 8 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 10
		u.submit(spec(uid, []string{"red", "blue"}[i%2], 10))
	}
	time.Sleep(25 * time.Second)
	for round := range 3 {
		ids := d.cloud.Machines()
		d.cutOff(some, isNode)
		for _, id := range ids[:len(ids)/3] {
			d.cloud.Pause(id, 9*time.Second)
		}
		go u.cancel(fmt.Sprintf("wk-%d", 2*round+1), round)
		go u.cancel(fmt.Sprintf("wk-%d", 2*round+2), round)
		time.Sleep(500 * time.Millisecond)
		leader, _ := d.leader()
		d.crash(leader, 500*time.Millisecond)
		time.Sleep(7 * time.Second)
		d.net.SetBlocked(nil)
		time.Sleep(8 * time.Second)
	}
	return jobs
}
