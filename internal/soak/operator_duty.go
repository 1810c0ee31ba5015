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
	leaderSearchTimeout = 2 * time.Second        // how long one request searches for the leader
	commandRetryDelay   = 100 * time.Millisecond // time between two sends of one command
	inForceTimeout      = 4 * time.Second        // how long to wait until a command is in force; longer than the default view lease and one renewal
)

// operatorDuty sends operator commands in order, each until it is acknowledged.
type operatorDuty struct {
	client       *operator.Client
	commands     *ring.Ring[Command]
	observations *ring.Ring[*observation]
}

// Run sends commands until the context ends. It fails if one is refused for
// another reason than an outdated version.
func (d *operatorDuty) Run(ctx context.Context) error {
	for {
		command, err := d.commands.Take(ctx)
		if err != nil {
			return nil
		}
		acknowledged, err := d.send(ctx, &command)
		if err != nil {
			return err
		}
		if !acknowledged {
			continue
		}
		if command.Kind == TakeOutDataCentre && command.Out {
			if _, ok := d.client.Await(ctx, command.Version, inForceTimeout); ok {
				command.InForce = time.Now()
			}
		}
		_ = d.observations.Put(ctx, &observation{command: &command})
	}
}

// send sends a command and returns whether it was acknowledged. It resends a command
// with an unknown outcome under the same id, and one that was based on an outdated
// version under a new id. It returns an error if a control process refuses the
// command for another reason.
func (d *operatorDuty) send(ctx context.Context, command *Command) (bool, error) {
	command.At = time.Now()
	var body *operator.ChangeBody
	for ctx.Err() == nil {
		if body == nil {
			body = d.changeBody(command)
		}
		if body != nil {
			result, err := d.client.Change(body)
			switch {
			case err == nil && result.Accepted:
				command.Acked, command.Version = time.Now(), result.Config
				return true, nil
			case err == nil: // based on an outdated version
				body = nil
			case eris.Is(err, operator.ErrRefused):
				return false, eris.Wrapf(err, "operator command %s %s", command.Kind, command.Target)
			}
		}
		clock.Pause(ctx, commandRetryDelay)
	}
	return false, nil
}

// changeBody encodes a command on the current version of the configuration, or
// returns nil if that version can't be read.
func (d *operatorDuty) changeBody(command *Command) *operator.ChangeBody {
	status, err := d.client.Status()
	if err != nil {
		return nil
	}
	body := &operator.ChangeBody{CommandID: rand.Text(), Operator: fleetName, Expected: uint64(status.ConfigVersion)}
	if command.Kind == TakeOutDataCentre {
		body.DataCentre, body.Out = command.Target, command.Out
		return body
	}
	if body.Preset, err = json.Marshal(presetFile(command.Target)); err != nil {
		return nil
	}
	return body
}
