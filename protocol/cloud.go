package protocol

// MachineType describes the machines of one type in the cloud's catalogue. On the wire it is
// a flavor, and a zone is a yard.
type MachineType struct {
	Name         string   `cbor:"label"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`        // in GB
	CacheGB      float64  `cbor:"cache_gb"`      // size of the image cache, in GB
	PullGBPerS   float64  `cbor:"pull_gb_per_s"` // nominal rate of an image fetch, in GB a second
	Price        float64  `cbor:"rate"`          // of an on-demand machine, per hour
	SpotPrice    float64  `cbor:"spot_price"`    // of a spot machine now, per hour
	BootS        float64  `cbor:"boot_s"`        // nominal boot time, in seconds
	Zones        []string `cbor:"yards"`         // where the type is offered
}

// Catalogue is the cloud's list of machine types. The key-value store keeps a copy for
// nodes that start while the cloud is unavailable.
type Catalogue struct {
	MachineTypes []MachineType `cbor:"flavors"`
}

// ScaleOutRequest asks the cloud for more machines of one type and zone.
type ScaleOutRequest struct {
	// IdempotencyKey is the hire on the wire. Repeating a request that was granted returns the
	// same machines. The key must differ from that of every other request ever sent by any node.
	IdempotencyKey string `cbor:"hire"`
	MachineType    string `cbor:"flavor"`
	Zone           string `cbor:"yard"`
	Spot           bool   `cbor:"borrowed"` // spot machines, not on-demand ones
	Count          int    `cbor:"how_many"` // largest number of machines to grant
}

// MachineIDs is the cloud's reply to a ScaleOutRequest, with the machines that it granted,
// and the body of a request to terminate machines.
type MachineIDs struct {
	IDs []string `cbor:"hosts"`
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID          string  `cbor:"uid"`
	Endpoint    string  `cbor:"endpoint"` // address of its agent, host and port
	MachineType string  `cbor:"flavor"`
	Zone        string  `cbor:"yard"`
	Spot        bool    `cbor:"borrowed"`
	Status      string  `cbor:"status"` // booting, running or failed
	AgeS        float64 `cbor:"held_s"` // seconds since the request for it
}

// MachineList is a page of the cloud's list of machines, sorted by id. The list lags behind
// what the cloud has granted and terminated.
type MachineList struct {
	Machines []CloudMachine `cbor:"hosts"`
	HasNext  bool           `cbor:"has_next"` // more pages follow
}
