package partition

// An attempt number consists of the view, the owner's index and a count. For gangs, the count is the
// gang number from the leader, and the owner's index is replaced by gangOwner, which is no member's
// index.
const (
	attemptCountBits = 22
	attemptOwnerBits = 6
	attemptCountMask = 1<<attemptCountBits - 1
	gangOwner        = 1<<attemptOwnerBits - 1
)

// attemptNumbers issues the numbers of attempts to run a task. Tasks that are placed by the same
// commit share a number: a commit never places a task twice, and repeated numbers keep records small.
type attemptNumbers struct {
	view    uint64
	owner   int
	commits uint64 // number of commits so far
}

// next returns the attempt number of the tasks that the next commit places.
func (a *attemptNumbers) next() uint64 {
	return a.number(uint64(a.owner), a.commits)
}

// forGang returns the attempt number that all tasks of a gang share across owners.
func (a *attemptNumbers) forGang(gang uint64) uint64 { return a.number(gangOwner, gang) }

func (a *attemptNumbers) number(owner, count uint64) uint64 {
	return a.view<<(attemptCountBits+attemptOwnerBits) | owner<<attemptCountBits | count&attemptCountMask
}
