package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"endivespring/internal/consensus"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

func (d *Disk) loadIdentity(fleet, name string) error {
	data, err := d.read(identityName)
	if os.IsNotExist(err) {
		return d.createIdentity(fleet, name)
	}
	if err != nil {
		return eris.Wrap(err, "read identity")
	}
	if err := json.Unmarshal(data, &d.identity); err != nil || d.identity.Disk == "" {
		return eris.Wrapf(ErrDamaged, "file %s", d.path(identityName))
	}
	if d.identity.Fleet != fleet || d.identity.Name != name {
		return eris.Wrapf(ErrForeign, "folder %q is of %s in fleet %s", d.folder, d.identity.Name, d.identity.Fleet)
	}
	return nil
}

// createIdentity starts an empty log and then makes a new identity, so that an
// identity without a log means that the log was lost.
func (d *Disk) createIdentity(fleet, name string) error {
	if err := d.checkUnused(); err != nil {
		return err
	}
	if err := d.resetLog(0, nil); err != nil {
		return err
	}
	var id [diskIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return eris.Wrap(err, "make disk identity")
	}
	d.identity = Identity{Fleet: fleet, Name: name, Disk: hex.EncodeToString(id[:])}
	data, err := json.Marshal(d.identity)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return d.replace(identityName, data)
}

// checkUnused reports damage if the folder holds state but no identity: its
// votes cannot be attributed.
func (d *Disk) checkUnused() error {
	if _, err := os.Stat(d.path(snapshotName)); err == nil {
		return eris.Wrapf(ErrDamaged, "folder %q has a snapshot but no %s", d.folder, identityName)
	}
	data, err := d.read(logName)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read log")
	}
	unused, err := batchFrame(&wirepb.Batch{HardState: wire.FromHardState(&consensus.HardState{})})
	if err == nil && len(data) > 0 && !bytes.Equal(data, unused) {
		return eris.Wrapf(ErrDamaged, "folder %q has a log but no %s", d.folder, identityName)
	}
	return err
}
