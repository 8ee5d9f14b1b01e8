package controller_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"junipershelf/protocol"
)

func moreWorkThanRoomOverSlowLinks(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(string) time.Duration { return 4 * time.Second }
	d.net.SetLatency(60 * time.Millisecond)
	jobs := map[string]int{}
	for i := range 12 {
		m := spec(fmt.Sprintf("wk-%d", i+1), []string{"red", "blue"}[i%2], 20)
		m["urgency"] = []string{"urgent", "best_effort", "normal"}[i%3]
		jobs[uidOf(m)] = 20
		u.submit(m)
	}
	time.Sleep(40 * time.Second)
	u.cancel("wk-3", 1)
	d.net.SetLatency(time.Millisecond)
	return jobs
}

func closeLooks(d *day, u *users) map[string]int {
	d.cloud.RunFor = func(piece string) time.Duration { return time.Duration(1+len(piece)%3) * time.Second }
	jobs := map[string]int{}
	var all sync.WaitGroup
	for i := range 24 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 1 + i%3
		m := spec(uid, []string{"red", "blue"}[i%2], jobs[uid])
		all.Go(func() {
			u.submit(m)
			u.look(uid, m)
			if i%4 == 0 {
				u.cancel(uid, i)
				u.look(uid, m)
				return
			}
			for range 200 {
				u.look(uid, nil)
				if s := u.heard(uid); s == "done" {
					u.look(uid, m)
					return
				}
				time.Sleep(700 * time.Millisecond)
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	all.Wait()
	return jobs
}

func cancellationAtTheEndOfTheLastTask(d *day, u *users) map[string]int {
	jobs := map[string]int{}
	var all sync.WaitGroup
	for i := range 16 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 1
		m := spec(uid, []string{"red", "blue"}[i%2], 1)
		u.submit(m)
		all.Go(func() {
			for range 400 {
				n := 0
				d.cloud.WithLock(func() { n = d.cloud.Results[protocol.TaskName(uid, 0)] })
				if n > 0 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Duration(i*170) * time.Millisecond)
			go u.look(uid, m)
			u.cancel(uid, i)
			u.look(uid, m)
		})
	}
	all.Wait()
	return jobs
}

func transactionsCarriedOutLate(d *day, u *users) map[string]int {
	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	d.store.DelayTransactions(func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(2+10*rng.Float64()) * time.Second, rng.Float64() < 0.15
	})
	jobs := map[string]int{}
	for i := range 10 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 5
		m := spec(uid, []string{"red", "blue"}[i%2], 5)
		u.submit(m)
		u.look(uid, m)
		if i%3 == 0 {
			time.Sleep(2 * time.Second)
			u.cancel(uid, i)
			u.look(uid, m)
		}
		if i == 4 || i == 7 {
			leader, _ := d.leader()
			d.crash(leader, time.Second)
		}
	}
	time.Sleep(20 * time.Second)
	d.store.DelayTransactions(nil)
	return jobs
}

func answersLostWhileOthersRead(d *day, u *users) map[string]int {
	rng := rand.New(rand.NewPCG(8, 8))
	var mu sync.Mutex
	lost := func() bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < 0.3 }
	d.store.SetReplyFaults(lost, func() bool { return false })
	jobs := map[string]int{}
	for i := range 10 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 4
		m := spec(uid, []string{"red", "blue"}[i%2], 4)
		u.submit(m)
		u.look(uid, m)
		if i%3 == 0 {
			u.cancel(uid, i)
			u.look(uid, m)
		}
	}
	time.Sleep(20 * time.Second)
	d.store.SetReplyFaults(nil, nil)
	return jobs
}
