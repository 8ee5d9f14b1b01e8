package main

import (
	"fmt"
	"os"

	"junipershelf/policy"
	"junipershelf/settings"
	"junipershelf/sizing"
)

// configurationFiles are the flags that name what a controller is configured by.
type configurationFiles struct {
	Config string `help:"Settings file of the platform." placeholder:"FILE" required:""`
	Policy string `help:"Policy file (Starlark); the built-in default without one." placeholder:"FILE"`
}

// configuration is what a controller is configured by.
type configuration struct {
	settings *settings.Settings
	policy   *policy.Policy
}

// load reads and checks the files. Its error is a *configurationError.
func (f *configurationFiles) load() (*configuration, error) {
	platform, err := settings.Load(f.Config)
	if err != nil {
		return nil, &configurationError{part: "settings", err: err}
	}
	operators, err := policy.Load(f.Policy)
	if err != nil {
		return nil, &configurationError{part: "policy", err: err}
	}
	config := &configuration{settings: platform, policy: operators}
	if err := config.checkSizing(); err != nil {
		return nil, &configurationError{part: "settings", err: err}
	}
	return config, nil
}

// checkSizing returns an error if the settings are too small to serve anything. Settings
// that are only too small for the fleet that the policy expects are reported on stderr.
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

// checkCommand checks settings and policy.
type checkCommand struct {
	Files configurationFiles `embed:""`
}

// Run prints that settings and policy are valid, or returns why they are not.
func (c *checkCommand) Run() error {
	if _, err := c.Files.load(); err != nil {
		return err
	}
	fmt.Println("settings and policy are good")
	return nil
}
