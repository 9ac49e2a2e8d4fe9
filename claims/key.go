package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"github.com/zinniaseam/zinniaseam/core"
)

// PartitionCount is the number of partitions per service. All processes must use the
// same number.
const PartitionCount = 8

// keyHashBytes is the size of the stored hash of a key.
const keyHashBytes = 16

// maxKeyAhead is how far in the future the time in a key may lie. A key with a later
// time is treated as a key without a time.
const maxKeyAhead = 5 * time.Minute

type keyHash [keyHashBytes]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:keyHashBytes])
}

func fingerprintPrefix(d core.Digest) uint64 { return binary.BigEndian.Uint64(d[:8]) }

// Partition returns the partition of a key, from 0 to PartitionCount-1.
func Partition(key string) int {
	hash := hashKey(key)
	return int(binary.BigEndian.Uint64(hash[8:]) % PartitionCount)
}

// keyTime returns the Unix time in milliseconds from a version 7 UUID, or 0 if the key
// has no usable time.
func keyTime(key string, now time.Time) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	var wide [8]byte
	copy(wide[2:], id[:6])
	millis := int64(binary.BigEndian.Uint64(wide[:]))
	if millis > now.Add(maxKeyAhead).UnixMilli() {
		return 0
	}
	return millis
}

// Home returns the VM that runs the calls of key, or "" if live is empty. Entries
// route calls that must not be repeated to this VM.
func Home(service core.ServiceID, key string, live []core.VMID) core.VMID {
	return Homes(service, live)[Partition(key)]
}

// Homes returns the home of every partition of service by rendezvous hashing with a
// capacity limit: each partition goes to the VM with the highest hash of VM and
// partition among the VMs below their share. The partition counts of any two VMs
// differ by at most one.
func Homes(service core.ServiceID, live []core.VMID) [PartitionCount]core.VMID {
	var homes [PartitionCount]core.VMID
	vms := slices.Compact(slices.Sorted(slices.Values(live)))
	if len(vms) == 0 {
		return homes
	}
	share, larger := PartitionCount/len(vms), PartitionCount%len(vms)
	assigned := make(map[core.VMID]int, len(vms))
	for p := range homes {
		home := highestHash(service, p, vms, func(vm core.VMID) bool {
			return assigned[vm] < share || assigned[vm] == share && larger > 0
		})
		if assigned[home] == share {
			larger--
		}
		assigned[home]++
		homes[p] = home
	}
	return homes
}

// highestHash returns the VM with the highest hash among those below their share.
func highestHash(service core.ServiceID, partition int, vms []core.VMID, hasRoom func(core.VMID) bool) core.VMID {
	var best core.VMID
	var bestHash uint64
	for _, vm := range vms {
		if !hasRoom(vm) {
			continue
		}
		hash := xxh3.HashStringSeed(string(service)+"\x00"+string(vm), uint64(partition)+1)
		if best == "" || hash > bestHash {
			best, bestHash = vm, hash
		}
	}
	return best
}
