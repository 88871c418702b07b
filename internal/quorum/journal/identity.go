package journal

import (
	"os"
	"path/filepath"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
)

const identityName = "identity"

// FolderID identifies a data folder. An instance that lost its folder gets a new
// FolderID.
type FolderID uint64

// Identity is the stored identity of a data folder.
type Identity struct {
	// Folder is a random number. It is 0 in a folder that was never used.
	Folder FolderID
	// Voter is the voter ID of the replicas in the folder, or 0 until it is known.
	Voter quorum.VoterID
	// Folders maps the IDs of the initial voters to the data folders that first
	// claimed them.
	Folders map[quorum.VoterID]FolderID
	// Replaced is set if the folder got a new voter ID because the ID in the
	// settings belongs to a lost folder.
	Replaced bool
	// Initial holds the initial members, which are the same in all groups. It is
	// empty in a folder that joined later.
	Initial []replica.Voter
	// Groups lists the groups whose journals were created in the folder.
	Groups []quorum.GroupID
	// Damage is the reason why the folder must no longer be used, or empty.
	Damage string
}

// LoadIdentity reads the identity of a data folder. It returns the zero value if
// none is stored.
func LoadIdentity(d Disk, dir string) (Identity, error) {
	name := filepath.Join(dir, identityName)
	b, err := d.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return Identity{}, nil
	}
	if err != nil {
		return Identity{}, errors.Wrap(err, "identity")
	}
	var p peerv1.JournalIdentity
	if err := decodeFile(name, b, &p); err != nil {
		return Identity{}, err
	}
	id := Identity{
		Folder: FolderID(p.GetFolder()), Voter: quorum.VoterID(p.GetVoter()),
		Replaced: p.GetReplaced(), Damage: p.GetDamage(), Folders: make(map[quorum.VoterID]FolderID),
	}
	for v, f := range p.GetFolders() {
		id.Folders[quorum.VoterID(v)] = FolderID(f)
	}
	for _, v := range p.GetInitial() {
		id.Initial = append(id.Initial, replica.Voter{
			ID: quorum.VoterID(v.GetId()), Instance: fleet.InstanceID(v.GetInstance()), Address: v.GetAddress(),
		})
	}
	for _, g := range p.GetGroups() {
		id.Groups = append(id.Groups, quorum.GroupID(g))
	}
	return id, nil
}

// SaveIdentity replaces the stored identity of a data folder and syncs it.
func SaveIdentity(d Disk, dir string, id Identity) error {
	p := &peerv1.JournalIdentity{
		Folder: uint64(id.Folder), Voter: uint64(id.Voter),
		Replaced: id.Replaced, Damage: id.Damage, Folders: make(map[uint64]uint64),
	}
	for v, f := range id.Folders {
		p.Folders[uint64(v)] = uint64(f)
	}
	for _, v := range id.Initial {
		p.Initial = append(p.Initial, &peerv1.Voter{Id: uint64(v.ID), Instance: string(v.Instance), Address: v.Address})
	}
	for _, g := range id.Groups {
		p.Groups = append(p.Groups, string(g))
	}
	content, err := appendFrame(nil, p)
	if err != nil {
		return errors.Wrap(err, "identity")
	}
	f, err := replaceFile(d, dir, identityName, content)
	if err != nil {
		return errors.Wrap(err, "identity")
	}
	return f.Close()
}
