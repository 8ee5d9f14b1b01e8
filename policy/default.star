# The default policy: settings of the scheduler that are not in the platform's settings file. An
# operator's policy file may set any of the names below; names that it omits keep these
# values. Times are in seconds.

buddies = 10            # size of a buddy set: machines at the head of a preferred list that take overflow
threshold = 0           # a machine with more queued tasks than this is overloaded
local_wait_s = 10.0     # time that overflow waits before it is forwarded beyond the buddy set; a task that waits on a machine in vain for twice this returns to the leader
ahead_s = 5.0           # tasks that are likely to start within this time are pre-committed to a full machine
backlog = 3             # largest number of tasks that are pre-committed to a machine
image_patience = 0.5    # a job leaves free capacity on machines without its image to other work for the image's fetch time multiplied by this

grant_part = 0.3        # duration of a controller's member lease, as a fraction of the agents' lease
authority_part = 0.6    # duration of a controller's lease on its machines, as a fraction of the agents' lease
silent_part = 0.75      # a machine is terminated after this fraction of the agents' lease without a heartbeat
stale_s = 6.0           # no task is started while the job cache is older than this

aging_s = 600.0         # the priority of work rises by one rank each time that it has waited this long
put_off_s = 100.0       # deferred work that has waited this long is protected from starvation: such work gets a quarter of all assigned CPUs; 0: off
preempt_s = 20.0        # work that cannot get capacity within this time may preempt other work; 0: no preemption
preempt_loss_s = 5.0    # a task is not preempted if it would lose more of its run time than this
fault_pause_s = 2.0     # first pause of a job that fails on all machines; the pause doubles each time
fault_max_s = 60.0      # longest pause of such a job
sick_after = 3          # a machine is quarantined after this many tasks fail on it, not counting tasks of jobs that fail on all machines

idle_boots = 0.4        # an idle machine is terminated after its type's boot time multiplied by this
settle_s = 35.0         # a task that has run for this long may be stopped to evict its machine
spare = 0.15            # capacity that stays free when machines are evicted, as a fraction of the capacity in use
boot_factor = 3.0       # a machine is terminated if it is still booting after its type's boot time multiplied by this
boot_slack_s = 5.0      # added to the time given by boot_factor
refusal_s = 10.0        # pause of scaling out after the cloud had no capacity
ordinary_rank = 3       # work that may run on spot machines may use on-demand ones if its priority rank is at most this (0 critical, 1 urgent, 2 normal, 3 best_effort; -1: none)
ordinary_wait_s = 5.0   # such work may use on-demand machines only after it has waited this long, and if no spot machine is available

fleet_machines = 0      # largest expected number of machines, for which the settings are checked; 0: not checked
tasks_per_machine = 8   # number of tasks that run on each machine at the same time

team_weights = {}       # weights of teams in the fair share, by name; the weight of a team without one is the number of CPUs of its guarantee, but at least 1
