package settings

import (
	"fmt"
	"net/netip"
)

// minTransactionChanges is the smallest supported limit on the changes of a transaction.
const minTransactionChanges = 4

// maxValue is larger than any limit or time in a real deployment.
const maxValue = 1e9

// validate returns a *ValidationError for the first field that is missing or invalid.
func (s *Settings) validate() error {
	checks := []func() error{
		s.validateAddresses,
		s.validatePeers,
		s.Facts.validateNumbers,
		s.Facts.Store.validateNext,
		s.Facts.validateObjectives,
		s.Facts.validateTeams,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	for _, a := range []struct{ field, value string }{
		{"front", s.APIAddr},
		{"internal_addr", s.InternalAddr},
		{"outside.cloud", s.Services.CloudAddr},
		{"outside.state", s.Services.StoreAddr},
	} {
		if err := validateAddr(a.field, a.value); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validatePeers() error {
	if s.NodeName == "" {
		return &ValidationError{"node_name", "missing"}
	}
	names := map[string]bool{s.NodeName: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("known[%d]", i)
		if p.NodeName == "" || names[p.NodeName] {
			return &ValidationError{field + ".node_name", "missing or repeated"}
		}
		names[p.NodeName] = true
		if err := validateAddr(field+".addr", p.Addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *Facts) validateNumbers() error {
	if len(f.Zones) == 0 {
		return &ValidationError{"facts.zones", "missing"}
	}
	for _, n := range []struct {
		field string
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
		if err := validatePositive(n.field, n.value); err != nil {
			return err
		}
	}
	switch {
	case f.Cloud.ListLagS < 0:
		return &ValidationError{"facts.cloud.list_lag_s", "below 0"}
	case f.Workers.HeartbeatIntervalS*2 > f.Workers.LeaseS:
		return &ValidationError{"facts.workers.lease_s", "shorter than twice facts.workers.report_s"}
	}
	return validateTransactionChanges("facts.state.txn_ops", f.Store.TransactionChanges)
}

// validateNext checks the upcoming limits that are present.
func (l *StoreLimits) validateNext() error {
	if l.Next == nil {
		return nil
	}
	for _, n := range []struct {
		field string
		value *float64
	}{
		{"facts.state.next.rps", l.Next.RPS},
		{"facts.state.next.write_rps", l.Next.WriteRPS},
		{"facts.state.next.value_kb", l.Next.ValueKB},
	} {
		if n.value == nil {
			continue
		}
		if err := validatePositive(n.field, *n.value); err != nil {
			return err
		}
	}
	if l.Next.TransactionChanges == nil {
		return nil
	}
	return validateTransactionChanges("facts.state.next.txn_ops", *l.Next.TransactionChanges)
}

func (f *Facts) validateObjectives() error {
	for i := range f.Objectives {
		if err := f.Objectives[i].validate(fmt.Sprintf("facts.objectives[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// validate checks an objective of a known kind. Those of unknown kinds are ignored.
func (o *Objective) validate(field string) error {
	switch {
	case !o.Known():
		return nil
	case !(o.Share >= 0 && o.Share <= 1): // negated, to reject NaN
		return &ValidationError{field + ".share", "not between 0 and 1"}
	case o.Class == "" && o.Kind != ObjectiveGuarantee:
		return &ValidationError{field + ".class", "missing"}
	case o.Kind == ObjectiveDeadline:
		return validatePositive(field+".times", o.DeadlineFactor)
	}
	return validatePositive(field+".within_s", o.WithinS)
}

func (f *Facts) validateTeams() error {
	if len(f.Teams) == 0 {
		return &ValidationError{"facts.teams", "missing"}
	}
	names := map[string]bool{}
	for i, t := range f.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return &ValidationError{field + ".name", "missing or repeated"}
		}
		names[t.Name] = true
		if err := t.validate(field); err != nil {
			return err
		}
	}
	return nil
}

func (t *Team) validate(field string) error {
	const reason = "below the guarantee, or below 0"
	switch {
	case t.CPUGuarantee < 0 || !(t.CPULimit >= t.CPUGuarantee): // negated, to reject NaN
		return &ValidationError{field + ".cpus_max", reason}
	case t.GPUGuarantee < 0 || t.GPULimit < t.GPUGuarantee:
		return &ValidationError{field + ".gpus_max", reason}
	}
	return nil
}

// validatePositive rejects a value that is missing, NaN, not above 0 or above maxValue.
func validatePositive(field string, value float64) error {
	if !(value > 0) || value > maxValue {
		return &ValidationError{field, fmt.Sprintf("missing, not above 0, or above %g", maxValue)}
	}
	return nil
}

func validateTransactionChanges(field string, value int) error {
	if value < minTransactionChanges {
		return &ValidationError{field, fmt.Sprintf("below %d", minTransactionChanges)}
	}
	return nil
}

func validateAddr(field, value string) error {
	if value == "" {
		return &ValidationError{field, "missing"}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &ValidationError{field, fmt.Sprintf("%q is not an IP address with a port", value)}
	}
	return nil
}
