package partition

// An attempt number is the view, the owner, and a count; gangs, which the leader numbers,
// have an owner's number that no member has.
const (
	attemptCountBits = 22
	attemptOwnerBits = 6
	attemptCountMask = 1<<attemptCountBits - 1
	gangOwner        = 1<<attemptOwnerBits - 1
)

// attemptNumbers numbers the attempts to run a task. Tasks that one commit places share a number:
// a task is never placed twice by one commit, and a number that repeats keeps records small.
type attemptNumbers struct {
	view    uint64
	owner   int
	commits uint64 // made so far
}

// next is the number of the attempts that the next commit places.
func (a *attemptNumbers) next() uint64 {
	return a.number(uint64(a.owner), a.commits)
}

// forGang is the number that all tasks of a gang share, whoever owns their machines.
func (a *attemptNumbers) forGang(gang uint64) uint64 { return a.number(gangOwner, gang) }

func (a *attemptNumbers) number(owner, count uint64) uint64 {
	return a.view<<(attemptCountBits+attemptOwnerBits) | owner<<attemptCountBits | count&attemptCountMask
}
