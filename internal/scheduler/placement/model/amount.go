package model

import (
	"fmt"

	pb "chervilridge/api/chervil/v1"
)

// Amount is a quantity of each divisible thing of a worker, as a plain value:
// planning compares many of them and must not allocate.
type Amount struct {
	CPUMilli     int64
	MemoryMB     int64
	Accelerators int64
}

// FromProto converts a message; nil is nothing.
func FromProto(r *pb.Resources) Amount {
	return Amount{CPUMilli: r.GetCpuMilli(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

// Proto converts to a message.
func (a Amount) Proto() *pb.Resources {
	return &pb.Resources{CpuMilli: a.CPUMilli, MemoryMb: a.MemoryMB, Accelerators: a.Accelerators}
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.CPUMilli + b.CPUMilli, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a - b, which may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.CPUMilli - b.CPUMilli, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Max returns the larger of each kind.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.CPUMilli, b.CPUMilli), max(a.MemoryMB, b.MemoryMB), max(a.Accelerators, b.Accelerators)}
}

// Min returns the smaller of each kind.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.CPUMilli, b.CPUMilli), min(a.MemoryMB, b.MemoryMB), min(a.Accelerators, b.Accelerators)}
}

// Scale returns the amount times f, rounded down.
func (a Amount) Scale(f float64) Amount {
	return Amount{int64(float64(a.CPUMilli) * f), int64(float64(a.MemoryMB) * f), int64(float64(a.Accelerators) * f)}
}

// Within reports whether each kind is at most that of the limit.
func (a Amount) Within(limit Amount) bool {
	return a.CPUMilli <= limit.CPUMilli && a.MemoryMB <= limit.MemoryMB && a.Accelerators <= limit.Accelerators
}

// WithinQuota is Within, where a zero kind of the quota is no limit.
func (a Amount) WithinQuota(quota Amount) bool {
	return (quota.CPUMilli == 0 || a.CPUMilli <= quota.CPUMilli) &&
		(quota.MemoryMB == 0 || a.MemoryMB <= quota.MemoryMB) &&
		(quota.Accelerators == 0 || a.Accelerators <= quota.Accelerators)
}

// DominantShare returns the largest share of the whole; kinds that the whole
// lacks do not count.
func (a Amount) DominantShare(whole Amount) float64 {
	return max(share(a.CPUMilli, whole.CPUMilli), share(a.MemoryMB, whole.MemoryMB), share(a.Accelerators, whole.Accelerators))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Missing names what the limit lacks for the amount; empty if it is within.
func (a Amount) Missing(limit Amount) string {
	switch {
	case a.CPUMilli > limit.CPUMilli:
		return fmt.Sprintf("%d milli-cores", a.CPUMilli-limit.CPUMilli)
	case a.MemoryMB > limit.MemoryMB:
		return fmt.Sprintf("%d MB of memory", a.MemoryMB-limit.MemoryMB)
	case a.Accelerators > limit.Accelerators:
		return fmt.Sprintf("%d accelerators", a.Accelerators-limit.Accelerators)
	}
	return ""
}

// String returns the amount as people read it.
func (a Amount) String() string {
	return fmt.Sprintf("%d milli-cores, %d MB, %d accelerators", a.CPUMilli, a.MemoryMB, a.Accelerators)
}
