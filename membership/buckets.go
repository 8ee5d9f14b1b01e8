package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	rateStep       = 10 // changes per second; the number of buckets grows with each full step
	bucketsPerStep = 6
	maxRateSteps   = 100 // at rateStep each: rates beyond 1000 changes per second add no buckets
)

// BucketsFor returns the number of hash buckets for the machines of a deployment, given the rate
// limit of the key-value store in changes per second. Each bucket is stored in one record or a few
// and is written at most about once a second, so that writes of buckets leave a third of the
// changes for other uses. The number is a multiple of the number of nodes, so that all nodes can
// own equally many.
func BucketsFor(changesPerSecond float64, nodes int) int {
	nodes = max(nodes, 1)
	steps := min(max(int(changesPerSecond/rateStep), 1), maxRateSteps)
	wanted := bucketsPerStep * steps
	perNode := (wanted + nodes/2) / nodes
	return nodes * max(perNode, 1)
}

// BucketOf returns the hash bucket of a machine. It never changes.
func (v View) BucketOf(machine string) int {
	h := fnv.New32a()
	h.Write([]byte(machine))
	return int(h.Sum32() % uint32(max(v.Buckets, 1)))
}

// OwnerOfBucket returns the index in the view of the member that owns a bucket.
func (v View) OwnerOfBucket(bucket int) int {
	owners := v.OwnersByBucket
	if owners == nil {
		owners = v.BucketOwners()
	}
	return owners[bucket%len(owners)]
}

// BucketOwners returns the owner of each bucket, as its index in the view. Each bucket has a home
// node, which depends only on the bucket's number and owns it while it is a member. The buckets of
// absent nodes are assigned one by one, each to the member that then has the fewest. The numbers of
// buckets of any two members therefore differ by at most one, and while a single node is absent only
// its own buckets move.
//
// All nodes, including those of other versions during an upgrade, must compute the same owners.
func (v View) BucketOwners() []int {
	owners := make([]int, max(v.Buckets, 1))
	if len(v.Members) == 0 {
		return owners
	}
	counts := make([]int, len(v.Members))
	unassigned := v.assignHomeBuckets(owners, counts)
	byName := v.membersByName()
	for _, bucket := range unassigned {
		owner := withFewestBuckets(byName, counts)
		owners[bucket] = owner
		counts[owner]++
	}
	return owners
}

// assignHomeBuckets assigns each bucket to its home node if that is a member, counts the buckets
// of each member, and returns the buckets whose home node is absent.
func (v View) assignHomeBuckets(owners, counts []int) (unassigned []int) {
	homes := v.homeNodes()
	index := make(map[string]int, len(v.Members))
	for i, m := range v.Members {
		index[m.Node] = i
	}
	for bucket := range owners {
		owner, present := index[homes[bucket%len(homes)]]
		if !present {
			unassigned = append(unassigned, bucket)
			continue
		}
		owners[bucket] = owner
		counts[owner]++
	}
	return unassigned
}

// homeNodes returns the names of the nodes that can be home nodes: those of the deployment, and
// members that the first view did not list.
func (v View) homeNodes() []string {
	names := slices.Clone(v.Nodes)
	for _, m := range v.Members {
		if !slices.Contains(names, m.Node) {
			names = append(names, m.Node)
		}
	}
	return names
}

// membersByName returns the indices of the members, sorted by name. Unlike the order of the
// members, this order is the same in all views.
func (v View) membersByName() []int {
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(v.Members[a].Node, v.Members[b].Node) })
	return order
}

// withFewestBuckets returns the first of the members that have the fewest buckets.
func withFewestBuckets(members, counts []int) int {
	return slices.MinFunc(members, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })
}
