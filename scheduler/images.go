package scheduler

// imageIndex numbers the images, so that machines' lists of them are quick to search, and
// counts the machines that have each.
type imageIndex struct {
	numbers  map[string]int32
	machines map[int32]int
}

// number returns an image's number.
func (x *imageIndex) number(name string) int32 {
	number, known := x.numbers[name]
	if !known {
		number = int32(len(x.numbers))
		x.numbers[name] = number
	}
	return number
}

// numbersOf returns the numbers of several images.
func (x *imageIndex) numbersOf(names []string) []int32 {
	numbers := make([]int32, len(names))
	for i, name := range names {
		numbers[i] = x.number(name)
	}
	return numbers
}

// addMachine counts the images that a machine has.
func (x *imageIndex) addMachine(m *Machine) {
	for _, number := range m.images {
		x.machines[number]++
	}
}

// removeMachine takes back what addMachine counted.
func (x *imageIndex) removeMachine(m *Machine) {
	for _, number := range m.images {
		x.machines[number]--
	}
}

// machinesWith returns how many machines have an image.
func (x *imageIndex) machinesWith(name string) int { return x.machines[x.number(name)] }
