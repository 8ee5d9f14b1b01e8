package scheduler

// imageIndex assigns numbers to images, so that the images of a machine are fast to search, and
// counts the machines that have each image.
type imageIndex struct {
	numbers  map[string]int32 // by image
	machines map[int32]int    // number of machines that have the image, by image number
}

// number returns an image's number, and assigns one to a new image.
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

// removeMachine reverts addMachine.
func (x *imageIndex) removeMachine(m *Machine) {
	for _, number := range m.images {
		x.machines[number]--
	}
}

// machinesWith returns the number of machines that have an image.
func (x *imageIndex) machinesWith(name string) int { return x.machines[x.number(name)] }
