package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"junipershelf/peer"
	"junipershelf/policy"
)

// maxShowReplyBytes limits a node's reply, which has a few hundred bytes for each of its machines.
const maxShowReplyBytes = 64 << 20

// showCommand prints the state of a running node.
type showCommand struct {
	Addr string `arg:"" help:"The node's internal_addr."`
}

// Run prints the node's state as JSON.
func (c *showCommand) Run(ctx context.Context) error {
	client := peer.NewClient(nil, c.Addr, peer.ClientLimits{MaxConnections: 1, MaxReplyBytes: maxShowReplyBytes})
	state, err := client.Show(ctx)
	if err != nil {
		return fmt.Errorf("show: %w", err)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(state); err != nil {
		return fmt.Errorf("show: %w", err)
	}
	return nil
}

// defaultPolicyCommand prints the default policy.
type defaultPolicyCommand struct{}

// Run prints the default policy, with its comments.
func (*defaultPolicyCommand) Run() error {
	_, err := fmt.Print(policy.Default)
	return err
}
