package state

// bindDisk binds a replica's identifier to a disk, or confirms the binding.
func (s *State) bindDisk(d DiskBinding) Result {
	if known, ok := s.Disks[d.ReplicaID]; ok && known != d.DiskID {
		return Result{
			Code:   CodeDiskReplaced,
			Detail: "the replica's identifier belongs to another disk",
		}
	}
	s.Disks[d.ReplicaID] = d.DiskID
	return Result{
		Code: CodeOK,
	}
}
