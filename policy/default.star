# What the platform's settings do not hold. Every name below may be set in an
# operator's own file; names left out keep these values. Times are in seconds.

buddies = 10            # entries of the preferred list that take overflow
threshold = 0           # queued tasks beyond which a machine is overloaded
local_wait_s = 10.0     # overflow waits this long before it walks on
ahead_s = 5.0           # on a full machine so many tasks queue, committed ahead, as are likely to start within this
backlog = 3             # but at most these
image_patience = 0.5    # room without its image is left to other work for this part of a fetch

grant_part = 0.3        # a controller's member lease, as a part of the workers' lease
authority_part = 0.6    # its authority lease, as a part of the same
silent_part = 0.75      # a machine silent for this part of it is returned
stale_s = 6.0           # nothing starts on a mirror of the jobs older than this

aging_s = 600.0         # waiting this long lifts work by one priority
put_off_s = 100.0       # work deferred for so long is protected from starvation: it gets a quarter of all room; 0: none does
preempt_s = 20.0        # work that cannot have room within this may stop other work; 0: nothing is stopped
preempt_loss_s = 5.0    # and no task is stopped that would lose more of its run than this
fault_pause_s = 2.0     # a job that fails everywhere pauses, twice as long each time
fault_max_s = 60.0
sick_after = 3          # tasks failing on a machine that others complete

idle_boots = 0.4        # an idle machine is returned after this part of its boot time
settle_s = 35.0         # a start that ran this long stands, and may be stopped to drain a machine
spare = 0.15            # room kept free when draining, as a part of what is in use
boot_factor = 3.0       # a machine still booting after so many boot times is given up
boot_slack_s = 5.0
refusal_s = 10.0        # pause after the cloud had nothing to give
ordinary_rank = 3       # priorities up to this (0 critical, 1 urgent) may rent machines on demand
ordinary_wait_s = 5.0  # when their work has waited this long and no spot is to be had

fleet_machines = 0      # the most machines that are expected: the settings are checked against them; 0: they are not
tasks_per_machine = 8   # and how many tasks run on each

team_weights = {}       # a team's share beside its guarantee, by name
