// Package policy reads the operators' own settings, a Starlark file.
package policy

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strconv"
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
	MaxQueuedPerMachine int     `star:"backlog" min:"0" max:"100"`
	PreCommitWindowS    float64 `star:"ahead_s" min:"0" max:"600"`
	ImagePatience       float64 `star:"image_patience" min:"0" max:"10"`
	MemberLeaseShare    float64 `star:"grant_part" min:"0.05" max:"0.9"`
	OwnershipLeaseShare float64 `star:"authority_part" min:"0.1" max:"0.95"`
	SilentShare         float64 `star:"silent_part" min:"0.2" max:"100"`
	MaxCacheStalenessS  float64 `star:"stale_s" min:"3" max:"10"`
	AgingS              float64 `star:"aging_s" min:"1" max:"1e6"`
	StarvationAfterS    float64 `star:"put_off_s" min:"0" max:"200"`
	PreemptAfterS       float64 `star:"preempt_s" min:"0" max:"3600"`
	MaxPreemptionLossS  float64 `star:"preempt_loss_s" min:"0" max:"1e6"`
	FailurePauseS       float64 `star:"fault_pause_s" min:"0.1" max:"60"`
	MaxFailurePauseS    float64 `star:"fault_max_s" min:"1" max:"3600"`
	QuarantineAfter     int     `star:"sick_after" min:"1" max:"1000"`
	IdleFactor          float64 `star:"idle_boots" min:"0" max:"1e6"`
	MinRunBeforeStopS   float64 `star:"settle_s" min:"0" max:"3600"`
	EvictionHeadroom    float64 `star:"spare" min:"0" max:"100"`
	BootFactor          float64 `star:"boot_factor" min:"1" max:"100"`
	BootSlackS          float64 `star:"boot_slack_s" min:"0" max:"3600"`
	NoCapacityPauseS    float64 `star:"refusal_s" min:"0.5" max:"3600"`
	OnDemandRank        int     `star:"ordinary_rank" min:"-1" max:"3"`
	OnDemandWaitS       float64 `star:"ordinary_wait_s" min:"0" max:"1e6"`
	FleetMachines       int     `star:"fleet_machines" min:"0" max:"1e6"`
	TasksPerMachine     int     `star:"tasks_per_machine" min:"1" max:"1000"`

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

// read runs a script and takes over the names that it sets.
func (p *Policy) read(name, src string) error {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(options, thread, name, src, nil)
	if err != nil {
		var eval *starlark.EvalError
		if errors.As(err, &eval) && len(eval.CallStack) > 0 {
			return fmt.Errorf("%s: %s", eval.CallStack.At(0).Pos, eval.Msg)
		}
		return err
	}
	known := fieldsByName()
	for key, value := range globals {
		if err := p.set(known, key, value); err != nil {
			return fmt.Errorf("%s: %s: %w", lineOf(name, src, key), key, err)
		}
	}
	return nil
}

// fieldsByName gives the policy's fields by their names in the file.
func fieldsByName() map[string]reflect.StructField {
	known := map[string]reflect.StructField{}
	t := reflect.TypeFor[Policy]()
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("star"); tag != "" {
			known[tag] = t.Field(i)
		}
	}
	return known
}

// lineOf names the file and the line that sets a name.
func lineOf(name, src, key string) string {
	for i, line := range strings.Split(src, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), key) {
			return fmt.Sprintf("%s:%d", name, i+1)
		}
	}
	return name
}

// set takes one name of a script over. Functions and names that begin with an underscore are
// the script's own.
func (p *Policy) set(known map[string]reflect.StructField, key string, value starlark.Value) error {
	if key == "team_weights" {
		return p.setTeamWeights(value)
	}
	if field, ok := known[key]; ok {
		return p.setNumber(field, value)
	}
	if _, function := value.(*starlark.Function); function || strings.HasPrefix(key, "_") {
		return nil
	}
	return errors.New("unknown name")
}

// maxWeight bounds a team's weight.
const maxWeight = 1e6

func (p *Policy) setTeamWeights(value starlark.Value) error {
	weights, ok := value.(*starlark.Dict)
	if !ok {
		return errors.New("not a dict")
	}
	for _, item := range weights.Items() {
		team, isName := starlark.AsString(item[0])
		weight, isNumber := starlark.AsFloat(item[1])
		if !isName || !isNumber || !(weight > 0) || weight > maxWeight {
			return errors.New("a team's name and a weight above 0 are wanted")
		}
		p.TeamWeights[team] = weight
	}
	return nil
}

// setNumber sets a field within the bounds that its tags give.
func (p *Policy) setNumber(field reflect.StructField, value starlark.Value) error {
	number, ok := starlark.AsFloat(value)
	if !ok {
		return errors.New("not a number")
	}
	least, most := bound(field, "min"), bound(field, "max")
	if !(number >= least && number <= most) {
		return fmt.Errorf("%v is not between %v and %v", number, least, most)
	}
	target := reflect.ValueOf(p).Elem().FieldByIndex(field.Index)
	if field.Type.Kind() != reflect.Int {
		target.SetFloat(number)
		return nil
	}
	if number != math.Trunc(number) {
		return errors.New("not a whole number")
	}
	target.SetInt(int64(number))
	return nil
}

// bound reads a bound from a field's tags.
func bound(field reflect.StructField, name string) float64 {
	value, err := strconv.ParseFloat(field.Tag.Get(name), 64)
	if err != nil {
		panic(fmt.Sprintf("policy: field %s: %v", field.Name, err))
	}
	return value
}
