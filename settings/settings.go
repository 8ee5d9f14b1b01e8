// Package settings reads and checks the file that the platform hands over.
package settings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Fields that it has beyond these are ignored.
type Settings struct {
	NodeName     string           `toml:"node_name"`
	Domain       string           `toml:"domain"`
	APIAddr      string           `toml:"front"`
	InternalAddr string           `toml:"internal_addr"`
	Peers        []Peer           `toml:"known"`
	Services     ServiceAddresses `toml:"outside"`
	Facts        Facts            `toml:"facts"`
}

// Peer is another controller.
type Peer struct {
	NodeName string `toml:"node_name"`
	Domain   string `toml:"domain"`
	Addr     string `toml:"addr"`
}

// ServiceAddresses names the services that the controller calls.
type ServiceAddresses struct {
	CloudAddr string `toml:"cloud"`
	StoreAddr string `toml:"state"`
}

// Facts are the limits and times of the deployment.
type Facts struct {
	Nodes        int         `toml:"nodes"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      WorkerTimes `toml:"workers"`
	Store        StoreLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team has a guarantee and a limit.
type Team struct {
	Name         string  `toml:"name"`
	CPUGuarantee float64 `toml:"cpus"`
	CPULimit     float64 `toml:"cpus_max"`
	GPUGuarantee float64 `toml:"gpus"`
	GPULimit     float64 `toml:"gpus_max"`
}

// WorkerTimes holds the times of the machines' agents.
type WorkerTimes struct {
	HeartbeatIntervalS float64 `toml:"report_s"`
	LeaseS             float64 `toml:"lease_s"`
	CancelWithinS      float64 `toml:"cancel_s"`
}

// StoreLimits limits the use of the key-value store.
type StoreLimits struct {
	RPS                float64 `toml:"rps"`
	WriteRPS           float64 `toml:"write_rps"`
	ValueKB            float64 `toml:"value_kb"`
	TransactionChanges int     `toml:"txn_ops"`
	// Next is what the service may fall to at any moment, without notice.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits are the limits to come; those that are absent stay as they are.
type NextStoreLimits struct {
	RPS                *float64 `toml:"rps"`
	WriteRPS           *float64 `toml:"write_rps"`
	ValueKB            *float64 `toml:"value_kb"`
	TransactionChanges *int     `toml:"txn_ops"`
}

// Effective is what holds now and later: the smaller of each limit.
func (l StoreLimits) Effective() StoreLimits {
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
	if n.TransactionChanges != nil {
		l.TransactionChanges = min(l.TransactionChanges, *n.TransactionChanges)
	}
	return l
}

// CloudLimits limits the use of the cloud's interface.
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
