package autoscaler

import (
	"junipershelf/job"
	"junipershelf/protocol"
)

// Weights in the cost of an offer.
const (
	// doubleCostBootS is the boot time in seconds that doubles the cost of an offer.
	doubleCostBootS = 150
	// spreadPenalty spreads requests over zones: it raises the cost of an offer by this fraction for
	// each machine of it already wanted.
	spreadPenalty = 0.02
	// onDemandPenalty makes every on-demand offer cost more than all spot offers.
	onDemandPenalty = 1e3
)

// catalogueOffer is an offer of the catalogue with its machine type and capacity.
type catalogueOffer struct {
	Offer
	machineType *protocol.MachineType
	capacity    job.Resources
}

// catalogueOffers lists the offers in the order of the catalogue and of each type's zones, spot before
// on-demand.
func catalogueOffers(catalogue []protocol.MachineType) []catalogueOffer {
	var offers []catalogueOffer
	for i := range catalogue {
		machineType := &catalogue[i]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				offers = append(offers, catalogueOffer{Offer{machineType.Name, zone, spot}, machineType, Capacity(machineType)})
			}
		}
	}
	return offers
}

// cost returns the cost by which offers are compared: the price per task, raised for the boot time
// and for the machines of the offer that are already wanted.
func (o *catalogueOffer) cost(tasksPerMachine, wanted int) float64 {
	price := o.machineType.Price
	if o.Spot {
		price = o.machineType.SpotPrice
	}
	cost := price / float64(tasksPerMachine) * (1 + o.machineType.BootS/doubleCostBootS) * (1 + spreadPenalty*float64(wanted))
	if !o.Spot {
		cost += onDemandPenalty
	}
	return cost
}
