// Package settings reads and checks the file that the platform hands over.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Fields that it has beyond these are ignored.
type Settings struct {
	NodeName     string  `toml:"node_name"`
	Domain       string  `toml:"domain"`
	APIAddr      string  `toml:"front"`
	InternalAddr string  `toml:"internal_addr"`
	Peers        []Peer  `toml:"known"`
	Outside      Outside `toml:"outside"`
	Facts        Facts   `toml:"facts"`
}

// Peer is another controller.
type Peer struct {
	NodeName string `toml:"node_name"`
	Domain   string `toml:"domain"`
	Addr     string `toml:"addr"`
}

// Outside names the services that the controller calls.
type Outside struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Facts are the limits and times of the deployment.
type Facts struct {
	Nodes        int         `toml:"nodes"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        StateLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team has a guarantee and a limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Workers holds the times of the machines' agents.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// StateLimits bounds the use of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next is what the service may fall to at any moment, without notice.
	Next *NextLimits `toml:"next"`
}

// NextLimits are the limits to come; those that are absent stay as they are.
type NextLimits struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Effective is what holds now and later: the smaller of each limit.
func (l StateLimits) Effective() StateLimits {
	n := l.Next
	l.Next = nil
	if n == nil {
		return l
	}
	for _, v := range []struct {
		now  *float64
		next *float64
	}{{&l.RPS, n.RPS}, {&l.WriteRPS, n.WriteRPS}, {&l.ValueKB, n.ValueKB}} {
		if v.next != nil {
			*v.now = min(*v.now, *v.next)
		}
	}
	if n.TxnOps != nil {
		l.TxnOps = min(l.TxnOps, *n.TxnOps)
	}
	return l
}

// CloudLimits bounds the use of the cloud's interface.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what the process may use.
type Resources struct {
	CPU        float64 `toml:"cpu"`
	MemMB      float64 `toml:"mem_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Seconds converts a duration of the file.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a file. An error names the field that is wrong.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse checks the text of a settings file.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		var d *toml.DecodeError
		if errors.As(err, &d) {
			row, col := d.Position()
			return nil, fmt.Errorf("line %d column %d: field %v: %s", row, col, d.Key(), d.Error())
		}
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

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
