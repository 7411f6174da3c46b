// Package resources adds, subtracts and compares amounts of processors, memory
// and accelerators. A nil amount counts as nothing.
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

// Fits reports whether need is within free in each kind.
func Fits(need, free *pb.Resources) bool {
	return need.GetCpuMilli() <= free.GetCpuMilli() &&
		need.GetMemoryMb() <= free.GetMemoryMb() &&
		need.GetAccelerators() <= free.GetAccelerators()
}

// Valid reports whether no kind is negative and one is positive.
func Valid(r *pb.Resources) bool {
	if r.GetCpuMilli() < 0 || r.GetMemoryMb() < 0 || r.GetAccelerators() < 0 {
		return false
	}
	return r.GetCpuMilli()+r.GetMemoryMb()+r.GetAccelerators() > 0
}

// DominantShare returns the largest share that used is of capacity, 0 to 1 or
// above. Kinds that the capacity lacks do not count.
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

// Max returns the larger amount of each kind.
func Max(a, b *pb.Resources) *pb.Resources {
	return &pb.Resources{
		CpuMilli:     max(a.GetCpuMilli(), b.GetCpuMilli()),
		MemoryMb:     max(a.GetMemoryMb(), b.GetMemoryMb()),
		Accelerators: max(a.GetAccelerators(), b.GetAccelerators()),
	}
}
