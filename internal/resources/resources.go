// Package resources adds, subtracts and compares amounts of CPU, memory and accelerators. A
// nil amount counts as zero.
package resources

import pb "chervilridge/api/chervil/v1"

// Add returns a + b.
func Add(a, b *pb.Resources) *pb.Resources {
	return &pb.Resources{
		CpuMilli:     a.GetCpuMilli() + b.GetCpuMilli(),
		MemoryMb:     a.GetMemoryMb() + b.GetMemoryMb(),
		Accelerators: a.GetAccelerators() + b.GetAccelerators(),
	}
}

// Sub returns a - b, which may be negative.
func Sub(a, b *pb.Resources) *pb.Resources {
	return &pb.Resources{
		CpuMilli:     a.GetCpuMilli() - b.GetCpuMilli(),
		MemoryMb:     a.GetMemoryMb() - b.GetMemoryMb(),
		Accelerators: a.GetAccelerators() - b.GetAccelerators(),
	}
}

// Fits reports whether need is at most free for each kind of resource.
func Fits(need, free *pb.Resources) bool {
	return need.GetCpuMilli() <= free.GetCpuMilli() &&
		need.GetMemoryMb() <= free.GetMemoryMb() &&
		need.GetAccelerators() <= free.GetAccelerators()
}

// Valid reports whether no amount is negative and at least one is positive.
func Valid(r *pb.Resources) bool {
	if r.GetCpuMilli() < 0 || r.GetMemoryMb() < 0 || r.GetAccelerators() < 0 {
		return false
	}
	return r.GetCpuMilli()+r.GetMemoryMb()+r.GetAccelerators() > 0
}

// DominantShare returns the highest ratio of used to capacity over all kinds of resource; it
// is above 1 if capacity is exceeded. Kinds with no capacity do not count.
func DominantShare(used, capacity *pb.Resources) float64 {
	return max(
		share(used.GetCpuMilli(), capacity.GetCpuMilli()),
		share(used.GetMemoryMb(), capacity.GetMemoryMb()),
		share(used.GetAccelerators(), capacity.GetAccelerators()),
	)
}

func share(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// Max returns the larger amount for each kind of resource.
func Max(a, b *pb.Resources) *pb.Resources {
	return &pb.Resources{
		CpuMilli:     max(a.GetCpuMilli(), b.GetCpuMilli()),
		MemoryMb:     max(a.GetMemoryMb(), b.GetMemoryMb()),
		Accelerators: max(a.GetAccelerators(), b.GetAccelerators()),
	}
}
