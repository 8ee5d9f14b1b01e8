# Policy of a fleet of about 4,000 machines: settings that cannot serve it are named at start
# with the figure that is needed (docs/operations.md, "Sizing"). Pass it with --policy.

fleet_machines = 4000
tasks_per_machine = 8
