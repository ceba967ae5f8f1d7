package clock

import "golang.org/x/sys/unix"

// NowUs reads the boot clock: it never jumps and it counts time spent suspended.
func NowUs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ts.Sec*1_000_000 + ts.Nsec/1_000
}

// Ms and Sec are a millisecond and a second in microseconds, the unit of all times in the product.
const (
	Ms  int64 = 1_000
	Sec int64 = 1_000_000
)
