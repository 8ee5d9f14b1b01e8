package settings

import (
	"errors"
	"fmt"
	"net/netip"
)

func (s *Settings) check() error {
	for _, a := range []struct{ name, value string }{
		{"front", s.APIAddr}, {"internal_addr", s.InternalAddr},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	} {
		if err := checkAddr(a.name, a.value); err != nil {
			return err
		}
	}
	if s.NodeName == "" {
		return errors.New("node_name: missing")
	}
	seen := map[string]bool{s.NodeName: true}
	for i, p := range s.Peers {
		if p.NodeName == "" || seen[p.NodeName] {
			return fmt.Errorf("known[%d].node_name: missing or repeated", i)
		}
		seen[p.NodeName] = true
		if err := checkAddr(fmt.Sprintf("known[%d].addr", i), p.Addr); err != nil {
			return err
		}
	}
	f := &s.Facts
	if len(f.Zones) == 0 {
		return errors.New("facts.zones: missing")
	}
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS}, {"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelS},
		{"facts.state.rps", f.State.RPS}, {"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB}, {"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.resources.cpu", f.Resources.CPU}, {"facts.resources.mem_mb", f.Resources.MemMB},
		{"facts.resources.max_sockets", float64(f.Resources.MaxSockets)},
	} {
		if err := checkPositive(v.name, v.value); err != nil {
			return err
		}
	}
	if f.Cloud.ListLagS < 0 {
		return errors.New("facts.cloud.list_lag_s: below 0")
	}
	if f.Workers.ReportS*2 > f.Workers.LeaseS {
		return errors.New("facts.workers.lease_s: shorter than two reports")
	}
	if f.State.TxnOps < 4 {
		return errors.New("facts.state.txn_ops: below 4")
	}
	if n := f.State.Next; n != nil {
		for _, v := range []struct {
			name  string
			value *float64
		}{{"rps", n.RPS}, {"write_rps", n.WriteRPS}, {"value_kb", n.ValueKB}} {
			if v.value == nil {
				continue
			}
			if err := checkPositive("facts.state.next."+v.name, *v.value); err != nil {
				return err
			}
		}
		if n.TxnOps != nil && *n.TxnOps < 4 {
			return errors.New("facts.state.next.txn_ops: below 4")
		}
	}
	for i := range f.Objectives {
		if err := f.Objectives[i].check(); err != nil {
			return fmt.Errorf("facts.objectives[%d].%w", i, err)
		}
	}
	if len(f.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("facts.teams[%d].name: missing or repeated", i)
		case t.CPUs < 0 || t.CPUsMax < t.CPUs || t.CPUsMax != t.CPUsMax:
			return fmt.Errorf("facts.teams[%d].cpus_max: below the guarantee, or below 0", i)
		case t.GPUs < 0 || t.GPUsMax < t.GPUs:
			return fmt.Errorf("facts.teams[%d].gpus_max: below the guarantee, or below 0", i)
		}
		names[t.Name] = true
	}
	return nil
}

// maxValue is larger than any limit or time that a deployment has.
const maxValue = 1e9

// checkPositive refuses what is absent, not a number, not above zero or beyond all bounds.
func checkPositive(name string, value float64) error {
	if !(value > 0) || value > maxValue {
		return fmt.Errorf("%s: missing or not above 0", name)
	}
	return nil
}

func checkAddr(name, value string) error {
	if value == "" {
		return fmt.Errorf("%s: missing", name)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not an IP address with a port", name, value)
	}
	return nil
}
