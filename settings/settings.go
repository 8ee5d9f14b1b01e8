// Package settings reads and checks the settings file, in TOML, that the platform provides to
// each controller. The toml tags of the fields are the file's keys. Unknown keys are ignored.
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
	APIAddr      string           `toml:"front"`         // IP address and port that users and agents call
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

// Facts describes the deployment: its teams and objectives, and its limits and time limits.
type Facts struct {
	Nodes        int         `toml:"nodes"`          // number of controllers
	Zones        []string    `toml:"zones"`          // zones in which the cloud has machines
	ClockErrorMS float64     `toml:"clock_error_ms"` // in milliseconds
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      WorkerTimes `toml:"workers"`
	Store        StoreLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team has a guarantee, within which its work need not wait for other teams, and a limit,
// which its tasks together never exceed. Usage above the guarantee is borrowed. A guarantee of 0
// guarantees nothing, and a limit of 0 allows no usage.
type Team struct {
	Name         string  `toml:"name"`
	CPUGuarantee float64 `toml:"cpus"`
	CPULimit     float64 `toml:"cpus_max"`
	GPUGuarantee float64 `toml:"gpus"`
	GPULimit     float64 `toml:"gpus_max"`
}

// WorkerTimes are the intervals and time limits of agents and of cancellations, in seconds.
type WorkerTimes struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // nominal time between two heartbeats of an agent
	LeaseS             float64 `toml:"lease_s"`  // an agent without a response for this long drops its tasks
	CancelWithinS      float64 `toml:"cancel_s"` // all tasks of a cancelled job must have stopped within this time
}

// StoreLimits are the limits on the use of the key-value store by all controllers together.
type StoreLimits struct {
	RPS                float64 `toml:"rps"`       // requests per second
	WriteRPS           float64 `toml:"write_rps"` // puts and deletes per second, also those in transactions
	ValueKB            float64 `toml:"value_kb"`  // largest size of a value, in KiB
	TransactionChanges int     `toml:"txn_ops"`   // largest number of puts and deletes in a transaction
	// Next are limits that may replace these at any moment, without notice.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits are upcoming limits of the key-value store. Limits that are nil do not
// change.
type NextStoreLimits struct {
	RPS                *float64 `toml:"rps"`
	WriteRPS           *float64 `toml:"write_rps"`
	ValueKB            *float64 `toml:"value_kb"`
	TransactionChanges *int     `toml:"txn_ops"`
}

// Effective returns limits that satisfy both the current and the upcoming ones: the smaller of
// each.
func (l StoreLimits) Effective() StoreLimits {
	next := l.Next
	l.Next = nil
	if next == nil {
		return l
	}
	l.RPS = effectiveLimit(l.RPS, next.RPS)
	l.WriteRPS = effectiveLimit(l.WriteRPS, next.WriteRPS)
	l.ValueKB = effectiveLimit(l.ValueKB, next.ValueKB)
	l.TransactionChanges = effectiveLimit(l.TransactionChanges, next.TransactionChanges)
	return l
}

// effectiveLimit returns the smaller of a limit and the one that may replace it, if there is one.
func effectiveLimit[T int | float64](current T, next *T) T {
	if next == nil {
		return current
	}
	return min(current, *next)
}

// CloudLimits are the limits on the use of the cloud's API by all controllers together, and the
// lag of its list of machines.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // largest age of the list of machines, in seconds
}

// Resources are the limits of the controller's process.
type Resources struct {
	CPU        float64 `toml:"cpu"`         // in cores
	MemMB      float64 `toml:"mem_mb"`      // in MiB
	MaxSockets int     `toml:"max_sockets"` // open at the same time
}

// Seconds returns the duration of a number of seconds in the settings or the policy.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a settings file. It returns the errors of Parse and of reading the
// file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse decodes and checks the text of a settings file. The error is a *SyntaxError, or a
// *ValidationError for the first invalid field.
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
