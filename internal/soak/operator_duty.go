package soak

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
)

const (
	operatorPatience = 2 * time.Second        // longest search for a control process that leads, once
	operatorPause    = 100 * time.Millisecond // time between sends of one order
	inForceWait      = 4 * time.Second        // longest wait to see an order in force; a view lease and a renewal
)

// operatorDuty sends orders one after the other, each until it is acknowledged
// or refused.
type operatorDuty struct {
	client *operator.Client
	orders *ring.Ring[Order]
	seen   *ring.Ring[*observation]
}

// Run sends orders until the context ends.
func (d *operatorDuty) Run(ctx context.Context) error {
	for {
		order, err := d.orders.Take(ctx)
		if err != nil {
			return nil
		}
		acknowledged, err := d.send(ctx, &order)
		if err != nil {
			return err
		}
		if !acknowledged {
			continue
		}
		if order.Kind == TakeOut && order.Out {
			if _, ok := d.client.Await(ctx, order.Version, inForceWait); ok {
				order.InForce = time.Now()
			}
		}
		_ = d.seen.Put(ctx, &observation{order: &order})
	}
}

// send returns whether the order was acknowledged. An order that may have been
// taken is sent again under the same id, one that was based on an older version
// under a new one. It returns an error if control cannot read the order.
func (d *operatorDuty) send(ctx context.Context, order *Order) (bool, error) {
	order.At = time.Now()
	var body *operator.ChangeBody
	for ctx.Err() == nil {
		if body == nil {
			body = d.body(order)
		}
		if body != nil {
			result, err := d.client.Change(body)
			switch {
			case err == nil && result.Accepted:
				order.Acked, order.Version = time.Now(), result.Config
				return true, nil
			case err == nil: // it was based on an older version
				body = nil
			case eris.Is(err, operator.ErrRefused):
				return false, eris.Wrapf(err, "order %s %s", order.Kind, order.Target)
			}
		}
		clock.Pause(ctx, operatorPause)
	}
	return false, nil
}

// body returns the order based on the present version, or nil if that is not
// known.
func (d *operatorDuty) body(order *Order) *operator.ChangeBody {
	status, err := d.client.Status()
	if err != nil {
		return nil
	}
	body := &operator.ChangeBody{CommandID: rand.Text(), Operator: fleetName, Expected: uint64(status.Config)}
	if order.Kind == TakeOut {
		body.DataCentre, body.Out = order.Target, order.Out
		return body
	}
	if body.Preset, err = json.Marshal(presetFile(order.Target)); err != nil {
		return nil
	}
	return body
}
