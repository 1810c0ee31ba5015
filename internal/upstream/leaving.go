package upstream

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/ring"
)

// leaveTimeout bounds the wait until a departure is recorded. Upstreams wait no longer for the
// answer.
const leaveTimeout = time.Second

// ErrNotRecorded means that a departure may be forgotten: it must not be acknowledged.
var ErrNotRecorded = eris.New("the departure could not be recorded")

// Leave passes on that the named upstream, or any if the name is empty, has announced its
// departure, and waits until that is recorded so that it outlives the process. It returns
// ErrNotRecorded if that takes too long, and the error of the ring.
func Leave(ctx context.Context, notifications *ring.Ring[Notification], name string) error {
	acknowledged := ring.NewReply[bool]()
	if err := notifications.Put(ctx, Notification{Leaving: true, Name: name, Acknowledged: acknowledged}); err != nil {
		return err
	}
	timer := time.NewTimer(leaveTimeout)
	defer timer.Stop()
	// No context is derived from ctx: the library uses that of a request again once its handler has
	// returned, while a derived one may still read it.
	select {
	case recorded := <-acknowledged.Out():
		if recorded {
			return nil
		}
	case <-ctx.Done():
	case <-timer.C:
	}
	return ErrNotRecorded
}
