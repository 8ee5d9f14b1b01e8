package settings

import (
	"errors"
	"fmt"
	"net/netip"
)

// minTransactionChanges is the fewest changes that a transaction must be able to hold.
const minTransactionChanges = 4

// check refuses what is missing or impossible; the error begins with the field.
func (s *Settings) check() error {
	for _, check := range []func() error{s.checkAddresses, s.checkPeers, s.Facts.checkNumbers, s.Facts.checkNext, s.Facts.checkObjectives, s.Facts.checkTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	for _, a := range []struct{ name, value string }{
		{"front", s.APIAddr},
		{"internal_addr", s.InternalAddr},
		{"outside.cloud", s.Services.CloudAddr},
		{"outside.state", s.Services.StoreAddr},
	} {
		if err := checkAddr(a.name, a.value); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkPeers() error {
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
	return nil
}

func (f *Facts) checkNumbers() error {
	if len(f.Zones) == 0 {
		return errors.New("facts.zones: missing")
	}
	for _, v := range []struct {
		name  string
		value float64
	}{
		{"facts.workers.report_s", f.Workers.HeartbeatIntervalS},
		{"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelWithinS},
		{"facts.state.rps", f.Store.RPS},
		{"facts.state.write_rps", f.Store.WriteRPS},
		{"facts.state.value_kb", f.Store.ValueKB},
		{"facts.state.txn_ops", float64(f.Store.TransactionChanges)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.resources.cpu", f.Resources.CPU},
		{"facts.resources.mem_mb", f.Resources.MemMB},
		{"facts.resources.max_sockets", float64(f.Resources.MaxSockets)},
	} {
		if err := checkPositive(v.name, v.value); err != nil {
			return err
		}
	}
	switch {
	case f.Cloud.ListLagS < 0:
		return errors.New("facts.cloud.list_lag_s: below 0")
	case f.Workers.HeartbeatIntervalS*2 > f.Workers.LeaseS:
		return errors.New("facts.workers.lease_s: shorter than two reports")
	case f.Store.TransactionChanges < minTransactionChanges:
		return fmt.Errorf("facts.state.txn_ops: below %d", minTransactionChanges)
	}
	return nil
}

// checkNext checks the limits to come; those that are absent stay as they are.
func (f *Facts) checkNext() error {
	next := f.Store.Next
	if next == nil {
		return nil
	}
	for _, v := range []struct {
		name  string
		value *float64
	}{{"rps", next.RPS}, {"write_rps", next.WriteRPS}, {"value_kb", next.ValueKB}} {
		if v.value == nil {
			continue
		}
		if err := checkPositive("facts.state.next."+v.name, *v.value); err != nil {
			return err
		}
	}
	if next.TransactionChanges != nil && *next.TransactionChanges < minTransactionChanges {
		return fmt.Errorf("facts.state.next.txn_ops: below %d", minTransactionChanges)
	}
	return nil
}

func (f *Facts) checkObjectives() error {
	for i := range f.Objectives {
		if err := f.Objectives[i].check(); err != nil {
			return fmt.Errorf("facts.objectives[%d].%w", i, err)
		}
	}
	return nil
}

func (f *Facts) checkTeams() error {
	if len(f.Teams) == 0 {
		return errors.New("facts.teams: missing")
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("facts.teams[%d].name: missing or repeated", i)
		case t.CPUGuarantee < 0 || !(t.CPULimit >= t.CPUGuarantee):
			return fmt.Errorf("facts.teams[%d].cpus_max: below the guarantee, or below 0", i)
		case t.GPUGuarantee < 0 || t.GPULimit < t.GPUGuarantee:
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
