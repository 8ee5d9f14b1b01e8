# What the platform's settings do not hold. Every name below may be set in an
# operator's own file; names left out keep these values. Times are in seconds.

buddies = 10            # machines at the head of the preferred list that take overflow: the buddy set
threshold = 0           # queued tasks beyond which a machine is overloaded
local_wait_s = 10.0     # overflow waits this long before it is forwarded beyond the buddy set
ahead_s = 5.0           # tasks that are likely to start within this are pre-committed on a full machine
backlog = 3             # but no more of them than this
image_patience = 0.5    # room without its image is left to other work for this part of a fetch

grant_part = 0.3        # life of a controller's member lease, as a part of the agents' lease
authority_part = 0.6    # life of its lease on the machines that it owns, as a part of the same
silent_part = 0.75      # a machine without a heartbeat for this part of it is terminated
stale_s = 6.0           # nothing starts while the cache of the jobs is older than this

aging_s = 600.0         # waiting this long raises work by one priority
put_off_s = 100.0       # work deferred for this long is protected from starvation: it gets a quarter of all room; 0: none does
preempt_s = 20.0        # work that cannot have room within this may preempt other work; 0: nothing is preempted
preempt_loss_s = 5.0    # and no task is preempted that would lose more of its run than this
fault_pause_s = 2.0     # a job that fails everywhere pauses, twice as long each time
fault_max_s = 60.0      # up to this
sick_after = 3          # a machine is quarantined after this many tasks fail there that complete on others

idle_boots = 0.4        # an idle machine is terminated after this part of its boot time
settle_s = 35.0         # a task that ran this long may be stopped to evict a machine
spare = 0.15            # room kept free when machines are evicted, as a part of what is in use
boot_factor = 3.0       # a machine that still boots after this many boot times is terminated
boot_slack_s = 5.0      # with this added
refusal_s = 10.0        # pause in scaling out after the cloud had no capacity
ordinary_rank = 3       # priorities up to this (0 critical, 1 urgent; -1: none) may have on-demand machines
ordinary_wait_s = 5.0   # when their work has waited this long and no spot machine is to be had

fleet_machines = 0      # the most machines that are expected: the settings are checked against them; 0: they are not
tasks_per_machine = 8   # and how many tasks run on each

team_weights = {}       # weights of teams in the fair share, by name; without one a team has that of its guarantee
