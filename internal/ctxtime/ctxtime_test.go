package ctxtime

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepLastsItsDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if err := Sleep(t.Context(), time.Hour); err != nil || time.Since(began) != time.Hour {
			t.Errorf("got error %v after %v, want none after 1h", err, time.Since(began))
		}
	})
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		began := time.Now()
		if err := Sleep(ctx, time.Hour); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("got error %v after %v, want context.DeadlineExceeded after 1s", err, time.Since(began))
		}
	})
}
