package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	bucketsPerTenChanges = 6
	maxChangeTens        = 100 // more changes a second make no more buckets
)

// BucketsFor returns how many hash buckets the machines of a deployment fall into, given the
// changes a second that the key-value store grants. Each bucket is one record there, or a few,
// and is written about once a second at the most; all of them together leave a third of the
// changes for the rest. The number is a multiple of the nodes, so that each can own as many.
func BucketsFor(changesPerSecond float64, nodes int) int {
	nodes = max(nodes, 1)
	changeTens := min(max(int(changesPerSecond/10), 1), maxChangeTens)
	wanted := bucketsPerTenChanges * changeTens
	perNode := (wanted + nodes/2) / nodes
	return nodes * max(perNode, 1)
}

// BucketOf returns the hash bucket of a machine, which never changes.
func (v View) BucketOf(machine string) int {
	h := fnv.New32a()
	h.Write([]byte(machine))
	return int(h.Sum32() % uint32(max(v.Buckets, 1)))
}

// OwnerOfBucket returns the place in the view of the member that owns a bucket.
func (v View) OwnerOfBucket(bucket int) int {
	owners := v.OwnersByBucket
	if owners == nil {
		owners = v.BucketOwners()
	}
	return owners[bucket%len(owners)]
}

// BucketOwners returns the owners of all buckets, as places in the view. Each bucket has a home
// node that follows from its number alone and owns it while it is a member. The buckets of
// absent nodes go one by one to the member that has the fewest. So they fall evenly on any
// members, one more or less, and while one node is absent only its own buckets move.
//
// All nodes, of all versions that run side by side, must compute the same division.
func (v View) BucketOwners() []int {
	owners := make([]int, max(v.Buckets, 1))
	if len(v.Members) == 0 {
		return owners
	}
	counts := make([]int, len(v.Members))
	orphans := v.assignHomeBuckets(owners, counts)
	byName := v.membersByName()
	for _, bucket := range orphans {
		owner := withFewestBuckets(byName, counts)
		owners[bucket] = owner
		counts[owner]++
	}
	return owners
}

// assignHomeBuckets assigns each bucket to its home node, counts how many each member has got,
// and returns the buckets whose home node is absent.
func (v View) assignHomeBuckets(owners, counts []int) (orphans []int) {
	homes := v.homeNodes()
	index := make(map[string]int, len(v.Members))
	for i, m := range v.Members {
		index[m.Node] = i
	}
	for bucket := range owners {
		owner, present := index[homes[bucket%len(homes)]]
		if !present {
			orphans = append(orphans, bucket)
			continue
		}
		owners[bucket] = owner
		counts[owner]++
	}
	return orphans
}

// homeNodes returns the names of the nodes that buckets are at home on: the deployment's, and
// members that the first view did not know.
func (v View) homeNodes() []string {
	names := slices.Clone(v.Nodes)
	for _, m := range v.Members {
		if !slices.Contains(names, m.Node) {
			names = append(names, m.Node)
		}
	}
	return names
}

// membersByName returns the members' places in the order of their names. Unlike the order of
// the members, it does not change from view to view.
func (v View) membersByName() []int {
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(v.Members[a].Node, v.Members[b].Node) })
	return order
}

// withFewestBuckets returns the first of some members that has the fewest buckets.
func withFewestBuckets(members, counts []int) int {
	return slices.MinFunc(members, func(a, b int) int { return cmp.Compare(counts[a], counts[b]) })
}
