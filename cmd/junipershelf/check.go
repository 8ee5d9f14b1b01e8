package main

import (
	"fmt"
	"os"

	"junipershelf/policy"
	"junipershelf/settings"
	"junipershelf/sizing"
)

// configurationFiles are the flags for the configuration files.
type configurationFiles struct {
	Config string `help:"The platform's settings file." placeholder:"FILE" required:""`
	Policy string `help:"Policy file (Starlark); without one, the built-in default policy is used." placeholder:"FILE"`
}

// configuration is the configuration of a controller.
type configuration struct {
	settings *settings.Settings
	policy   *policy.Policy
}

// load reads and checks the files. The error is a *configurationError.
func (f *configurationFiles) load() (*configuration, error) {
	platformSettings, err := settings.Load(f.Config)
	if err != nil {
		return nil, &configurationError{part: "settings", err: err}
	}
	operatorPolicy, err := policy.Load(f.Policy)
	if err != nil {
		return nil, &configurationError{part: "policy", err: err}
	}
	config := &configuration{settings: platformSettings, policy: operatorPolicy}
	if err := config.checkSizing(); err != nil {
		return nil, &configurationError{part: "settings", err: err}
	}
	return config, nil
}

// checkSizing returns an error if the settings are too small for any fleet. Settings that are
// only too small for the fleet that the policy expects are reported on stderr.
func (c *configuration) checkSizing() error {
	fleet := sizing.Fleet{
		Machines:        c.policy.FleetMachines,
		TasksPerMachine: c.policy.TasksPerMachine,
	}
	for _, shortfall := range sizing.Check(c.settings.Facts, fleet) {
		if shortfall.Fatal {
			return shortfall
		}
		fmt.Fprintln(os.Stderr, programName+": settings: "+shortfall.Error())
	}
	return nil
}

// checkCommand checks the settings and the policy.
type checkCommand struct {
	Files configurationFiles `embed:""`
}

// Run prints that the settings and the policy are valid, or returns why they are not.
func (c *checkCommand) Run() error {
	if _, err := c.Files.load(); err != nil {
		return err
	}
	fmt.Println("settings and policy are valid")
	return nil
}
