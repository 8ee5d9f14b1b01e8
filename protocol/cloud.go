package protocol

// MachineType is a machine type.
type MachineType struct {
	Name         string   `cbor:"label"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`
	CacheGB      float64  `cbor:"cache_gb"`
	PullGBPerS   float64  `cbor:"pull_gb_per_s"`
	Price        float64  `cbor:"rate"`
	SpotPrice    float64  `cbor:"spot_price"`
	BootS        float64  `cbor:"boot_s"`
	Zones        []string `cbor:"yards"`
}

// Catalogue is the cloud's catalogue.
type Catalogue struct {
	MachineTypes []MachineType `cbor:"flavors"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	IdempotencyKey string `cbor:"hire"`
	MachineType    string `cbor:"flavor"`
	Zone           string `cbor:"yard"`
	Spot           bool   `cbor:"borrowed"`
	Count          int    `cbor:"how_many"`
}

// MachineIDs names machines.
type MachineIDs struct {
	IDs []string `cbor:"hosts"`
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID          string  `cbor:"uid"`
	Endpoint    string  `cbor:"endpoint"`
	MachineType string  `cbor:"flavor"`
	Zone        string  `cbor:"yard"`
	Spot        bool    `cbor:"borrowed"`
	Status      string  `cbor:"status"`
	AgeS        float64 `cbor:"held_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []CloudMachine `cbor:"hosts"`
	HasNext  bool           `cbor:"has_next"`
}
