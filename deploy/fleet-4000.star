# Policy for a fleet of about 4,000 machines: settings that cannot serve it are reported at start
# with the value that is needed (docs/operations.md, "Sizing"). Pass this file with --policy.

fleet_machines = 4000
tasks_per_machine = 8
