package clock

import "golang.org/x/sys/unix"

// NowUs returns the time of the boot-time clock (CLOCK_BOOTTIME) in microseconds. It never jumps and includes the time for
// which the machine was suspended.
func NowUs() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ts.Sec*1_000_000 + ts.Nsec/1_000
}

// Ms and Sec are a millisecond and a second in microseconds, the unit of times inside the product.
const (
	Ms  int64 = 1_000
	Sec int64 = 1_000_000
)
