// Package policy reads the operators' own settings, a Starlark file.
package policy

import (
	_ "embed"
	"fmt"
	"os"
	"reflect"
	"strings"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Default is the documented default policy.
//
//go:embed default.star
var Default string

// Policy holds the values; the names in the file are in the tags.
type Policy struct {
	Buddies             int     `star:"buddies" min:"1" max:"1000"`
	Threshold           int     `star:"threshold" min:"0" max:"1000"`
	LocalWaitS          float64 `star:"local_wait_s" min:"0.1" max:"3600"`
	MaxBacklog          int     `star:"backlog" min:"0" max:"100"`
	CommitAheadS        float64 `star:"ahead_s" min:"0" max:"600"`
	ImagePatience       float64 `star:"image_patience" min:"0" max:"10"`
	MemberLeaseShare    float64 `star:"grant_part" min:"0.05" max:"0.9"`
	AuthorityLeaseShare float64 `star:"authority_part" min:"0.1" max:"0.95"`
	SilentShare         float64 `star:"silent_part" min:"0.2" max:"100"`
	StaleS              float64 `star:"stale_s" min:"3" max:"10"`
	AgingS              float64 `star:"aging_s" min:"1" max:"1e6"`
	StarvationS         float64 `star:"put_off_s" min:"0" max:"200"`
	PreemptS            float64 `star:"preempt_s" min:"0" max:"3600"`
	PreemptLossS        float64 `star:"preempt_loss_s" min:"0" max:"1e6"`
	FaultPauseS         float64 `star:"fault_pause_s" min:"0.1" max:"60"`
	FaultMaxS           float64 `star:"fault_max_s" min:"1" max:"3600"`
	SickAfter           int     `star:"sick_after" min:"1" max:"1000"`
	IdleFactor          float64 `star:"idle_boots" min:"0" max:"1e6"`
	SettleS             float64 `star:"settle_s" min:"0" max:"3600"`
	SpareRoom           float64 `star:"spare" min:"0" max:"100"`
	BootFactor          float64 `star:"boot_factor" min:"1" max:"100"`
	BootSlackS          float64 `star:"boot_slack_s" min:"0" max:"3600"`
	RefusalS            float64 `star:"refusal_s" min:"0.5" max:"3600"`
	OnDemandRank        int     `star:"ordinary_rank" min:"-1" max:"3"`
	OnDemandWaitS       float64 `star:"ordinary_wait_s" min:"0" max:"1e6"`

	TeamWeights map[string]float64
}

// Load reads a policy file over the default; an empty path gives the default.
func Load(path string) (*Policy, error) {
	p := &Policy{TeamWeights: map[string]float64{}}
	if err := p.read("default.star", Default); err != nil {
		return nil, err
	}
	if path == "" {
		return p, nil
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := p.read(path, string(src)); err != nil {
		return nil, err
	}
	return p, nil
}

// maxSteps keeps a script from running for ever.
const maxSteps = 1_000_000

func (p *Policy) read(name, src string) (err error) {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}, thread, name, src, nil)
	if err != nil {
		if e, ok := err.(*starlark.EvalError); ok && len(e.CallStack) > 0 {
			return fmt.Errorf("%s: %s", e.CallStack.At(0).Pos, e.Msg)
		}
		return err
	}
	line := func(key string) string {
		for i, l := range strings.Split(src, "\n") {
			if strings.HasPrefix(strings.TrimSpace(l), key) {
				return fmt.Sprintf("%s:%d", name, i+1)
			}
		}
		return name
	}
	v := reflect.ValueOf(p).Elem()
	known := map[string]int{}
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("star"); tag != "" {
			known[tag] = i
		}
	}
	for key, val := range globals {
		if key == "team_weights" {
			d, ok := val.(*starlark.Dict)
			if !ok {
				return fmt.Errorf("%s: team_weights: not a dict", line(key))
			}
			for _, kv := range d.Items() {
				team, ok := starlark.AsString(kv[0])
				w, num := starlark.AsFloat(kv[1])
				if !ok || !num || !(w > 0) || w > 1e6 {
					return fmt.Errorf("%s: team_weights: a team's name and a weight above 0 are wanted", line(key))
				}
				p.TeamWeights[team] = w
			}
			continue
		}
		i, ok := known[key]
		if !ok {
			switch val.(type) {
			case *starlark.Function:
				continue // helpers of the script
			}
			if strings.HasPrefix(key, "_") {
				continue
			}
			return fmt.Errorf("%s: %s: unknown name", line(key), key)
		}
		f, num := starlark.AsFloat(val)
		if !num {
			return fmt.Errorf("%s: %s: not a number", line(key), key)
		}
		field := v.Type().Field(i)
		var lo, hi float64
		fmt.Sscan(field.Tag.Get("min"), &lo)
		fmt.Sscan(field.Tag.Get("max"), &hi)
		if !(f >= lo && f <= hi) {
			return fmt.Errorf("%s: %s: %v is not between %v and %v", line(key), key, f, lo, hi)
		}
		if field.Type.Kind() == reflect.Int {
			if f != float64(int(f)) {
				return fmt.Errorf("%s: %s: not a whole number", line(key), key)
			}
			v.Field(i).SetInt(int64(f))
		} else {
			v.Field(i).SetFloat(f)
		}
	}
	return nil
}
