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

// loadIdentity reads the identity and checks that the folder belongs to the named
// node of the fleet. A folder without an identity gets a new one.
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
		return eris.Wrapf(ErrForeign, "folder %q belongs to %s in fleet %s", d.folder, d.identity.Name, d.identity.Fleet)
	}
	return nil
}

// createIdentity stores an empty log and only then a new identity: an identity
// without a log therefore means that the log was lost.
func (d *Disk) createIdentity(fleet, name string) error {
	if err := d.checkUnused(); err != nil {
		return err
	}
	if err := d.resetLog(0, nil); err != nil {
		return err
	}
	var id [diskIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return eris.Wrap(err, "generate disk ID")
	}
	d.identity = Identity{Fleet: fleet, Name: name, Disk: hex.EncodeToString(id[:])}
	data, err := json.Marshal(d.identity)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return d.replace(identityName, data)
}

// checkUnused returns ErrDamaged if a folder without an identity holds state: it
// is unknown which disk voted and acknowledged entries. The empty log of an
// unfinished createIdentity is accepted.
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
