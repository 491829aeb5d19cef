package placement

import "cardamompoint.example/cardamompoint/router/member"

// modelPool is the pool of a model for one version of the list of VMs and one
// number of replicas.
type modelPool struct {
	version  int64
	group    string
	replicas int
	pool     *member.Pool
}
