package emulator

import "time"

// Reclaim takes a machine back without notice.
func (c *Cloud) Reclaim(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[machine]; a != nil {
		c.removeMachine(a)
	}
}

// Pause lets a machine's agent hang for a time. Its tasks go on, and end with its lease.
func (c *Cloud) Pause(machine string, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[machine]; a != nil {
		a.pausedUntil = time.Now().Add(duration)
	}
}

// ReplayHeartbeats sends the recorded heartbeats to controllers, drops them and records no more.
func (c *Cloud) ReplayHeartbeats(nodes ...string) {
	c.mu.Lock()
	recorded := c.recordedHeartbeats
	c.recordedHeartbeats, c.RecordHeartbeats = map[string][]byte{}, false
	c.mu.Unlock()
	for machine, raw := range recorded {
		for _, node := range nodes {
			go c.sendCopy(machine, node, raw, 0)
		}
	}
}

// sendCopy sends a heartbeat once more, after a time by which its agent may be gone.
func (c *Cloud) sendCopy(machine, node string, raw []byte, delay time.Duration) {
	select {
	case <-c.ctx.Done():
		return
	case <-time.After(delay):
	}
	client := c.client(machine)
	defer client.CloseIdleConnections()
	_, _ = postHeartbeat(c.ctx, client, c.Nodes[node], raw) // nobody reads the reply of a copy
}
