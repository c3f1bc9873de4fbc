package connlimit

import (
	"errors"
	"fmt"
	"testing"
)

func TestSplit(t *testing.T) {
	for _, c := range []struct {
		sockets, total int
		maxActive      int
		want           Limits
	}{
		{64, 22, 21, Limits{Active: 17, Reserve: 1, New: 3, Overflow: 2}},
		{256, 128, 85, Limits{Active: 85, Reserve: 5, New: 32, Overflow: 11}},
		{384, 198, 128, Limits{Active: 128, Reserve: 8, New: 52, Overflow: 18}},
		{1024, 550, 341, Limits{Active: 341, Reserve: 21, New: 159, Overflow: 50}},
		// Without a limit of the platform on active connections, the total number limits them.
		{1024, 550, 1024, Limits{Active: 409, Reserve: 25, New: 91, Overflow: 50}},
		{64, 8, 4, Limits{Active: 4, Reserve: 1, New: 3, Overflow: 1}},
	} {
		t.Run(fmt.Sprintf("%d sockets, part %d", c.sockets, c.maxActive), func(t *testing.T) {
			got, err := Split(c.total, c.maxActive)
			if err != nil || got != c.want {
				t.Errorf("got %+v, error %v; want %+v", got, err, c.want)
			}
			if sum := got.Active + got.New + got.Overflow; sum != c.total {
				t.Errorf("the limits sum up to %d connections, want %d", sum, c.total)
			}
			New(got)
		})
	}
	for _, c := range [][2]int{{7, 100}, {100, 3}, {0, 0}, {-5, -5}} {
		if _, err := Split(c[0], c[1]); !errors.Is(err, ErrTooFew) {
			t.Errorf("Split(%d, %d): got the error %v, want ErrTooFew", c[0], c[1], err)
		}
	}
}
