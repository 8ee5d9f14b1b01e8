// Package settings reads and checks the settings file, in TOML, that the platform provides to each
// controller. The tags of the fields are the file's keys; the comment of a field whose key is
// another word says so where it needs to. Unknown keys are ignored.
package settings

import (
	"errors"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the settings file of one controller.
type Settings struct {
	NodeName     string           `toml:"node_name"`     // this controller's name, unique among the controllers
	Domain       string           `toml:"domain"`        // the failure domain that it runs in
	APIAddr      string           `toml:"front"`         // IP address and port that users and worker agents call
	InternalAddr string           `toml:"internal_addr"` // IP address and port that the other controllers call
	Peers        []Peer           `toml:"known"`         // the other controllers
	Services     ServiceAddresses `toml:"outside"`
	Facts        Facts            `toml:"facts"`
}

// Peer is another controller of the deployment.
type Peer struct {
	NodeName string `toml:"node_name"`
	Domain   string `toml:"domain"`
	Addr     string `toml:"addr"` // its Settings.InternalAddr
}

// ServiceAddresses are the IP addresses and ports of the services that a controller calls.
type ServiceAddresses struct {
	CloudAddr string `toml:"cloud"`
	StoreAddr string `toml:"state"` // of the key-value store, which the file calls the state service
}

// Facts describes the deployment: its teams and objectives, and the limits and times that
// it runs under.
type Facts struct {
	Nodes        int         `toml:"nodes"`          // number of controllers
	Zones        []string    `toml:"zones"`          // in which the cloud has machines
	ClockErrorMS float64     `toml:"clock_error_ms"` // in milliseconds
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      WorkerTimes `toml:"workers"`
	Store        StoreLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team has a guarantee, within which its work need not wait for other teams, and a limit,
// which its tasks together never exceed. What it uses between them is borrowed. 0 means none.
type Team struct {
	Name         string  `toml:"name"`
	CPUGuarantee float64 `toml:"cpus"`
	CPULimit     float64 `toml:"cpus_max"`
	GPUGuarantee float64 `toml:"gpus"`
	GPULimit     float64 `toml:"gpus_max"`
}

// WorkerTimes are the times that worker agents and the cancellation of jobs keep to, in
// seconds.
type WorkerTimes struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // nominal time between two heartbeats of an agent
	LeaseS             float64 `toml:"lease_s"`  // an agent that is not answered for so long drops its tasks
	CancelWithinS      float64 `toml:"cancel_s"` // all tasks of a cancelled job must be gone within this
}

// StoreLimits are the limits on all controllers' use of the key-value store together.
type StoreLimits struct {
	RPS                float64 `toml:"rps"`       // requests per second
	WriteRPS           float64 `toml:"write_rps"` // changes per second: a transaction counts each of its puts and deletes
	ValueKB            float64 `toml:"value_kb"`  // size of a value, in KiB
	TransactionChanges int     `toml:"txn_ops"`   // puts and deletes in a transaction
	// Next are limits that may replace these at any moment, without notice.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits are the coming limits of the key-value store. Those that are nil stay as
// they are.
type NextStoreLimits struct {
	RPS                *float64 `toml:"rps"`
	WriteRPS           *float64 `toml:"write_rps"`
	ValueKB            *float64 `toml:"value_kb"`
	TransactionChanges *int     `toml:"txn_ops"`
}

// Effective returns the limits that hold both now and later: of each the smaller one.
func (l StoreLimits) Effective() StoreLimits {
	next := l.Next
	l.Next = nil
	if next == nil {
		return l
	}
	l.RPS = smaller(l.RPS, next.RPS)
	l.WriteRPS = smaller(l.WriteRPS, next.WriteRPS)
	l.ValueKB = smaller(l.ValueKB, next.ValueKB)
	l.TransactionChanges = smaller(l.TransactionChanges, next.TransactionChanges)
	return l
}

// smaller returns the smaller of a limit and the one that may replace it, if there is one.
func smaller[T int | float64](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// CloudLimits are the limits on all controllers' use of the cloud's API together, and how
// far its answers lag.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // how old the list of machines may be, in seconds
}

// Resources is what the controller's process may use.
type Resources struct {
	CPU        float64 `toml:"cpu"`         // in cores
	MemMB      float64 `toml:"mem_mb"`      // in MiB
	MaxSockets int     `toml:"max_sockets"` // open at a time
}

// Seconds converts a number of seconds, as the settings and the policy have it.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a settings file. Beside the errors of Parse it returns those of
// reading the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes and checks the text of a settings file. Its error is a *SyntaxError, or a
// *ValidationError for the first field that is wrong.
func Parse(text []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, syntaxError(err)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// syntaxError adds the position to an error of the TOML library, if it has one.
func syntaxError(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return err
	}
	line, column := decodeError.Position()
	return &SyntaxError{Line: line, Column: column, Key: decodeError.Key(), Err: decodeError}
}
