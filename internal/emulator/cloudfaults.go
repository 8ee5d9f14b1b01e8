package emulator

import (
	"time"

	"junipershelf/internal/ctxtime"
)

// Reclaim removes a machine without a preemption notice.
func (c *Cloud) Reclaim(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[machine]; a != nil {
		c.removeMachine(a)
	}
}

// Pause suspends a machine's agent for a duration. Its tasks keep running until its lease expires.
func (c *Cloud) Pause(machine string, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[machine]; a != nil {
		a.pausedUntil = time.Now().Add(duration)
	}
}

// RestartAgent ends a machine's tasks and begins the agent's next epoch, as after a restart of the agent.
func (c *Cloud) RestartAgent(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[machine]; a != nil {
		a.beginEpoch()
	}
}

// ReplayHeartbeats sends the recorded heartbeats to controllers, discards them and stops recording.
func (c *Cloud) ReplayHeartbeats(nodes ...string) {
	c.ReplayHeartbeatsAfter([]time.Duration{0}, nodes...)
}

// ReplayHeartbeatsAfter is ReplayHeartbeats for copies that arrive after each of the given delays.
func (c *Cloud) ReplayHeartbeatsAfter(delays []time.Duration, nodes ...string) {
	c.mu.Lock()
	recorded := c.recordedHeartbeats
	c.recordedHeartbeats, c.RecordHeartbeats = map[string][]byte{}, false
	c.mu.Unlock()
	for machine, raw := range recorded {
		for _, node := range nodes {
			for _, delay := range delays {
				go c.sendCopy(machine, node, raw, delay)
			}
		}
	}
}

// sendCopy sends a copy of a heartbeat after a delay, even if its machine is removed meanwhile.
func (c *Cloud) sendCopy(machine, node string, raw []byte, delay time.Duration) {
	if !ctxtime.Sleep(c.ctx, delay) {
		return
	}
	client := c.client(machine)
	defer client.CloseIdleConnections()
	_, _ = postHeartbeat(c.ctx, client, c.Nodes[node], raw) // the reply to a copy is ignored
}
