package member

import (
	"slices"
	"strings"

	"jacinthpost/core/fleet"
)

// View is an immutable snapshot of the fleet. The zero value is empty.
type View struct {
	self    Member
	members []Member
	index   map[fleet.InstanceID]int
}

// View returns the members whose profile is known, including this process.
func (mac *Machine) View() View {
	members := make([]Member, 0, mac.roster.Len()+1)
	members = append(members, mac.Self())
	for _, ent := range mac.roster.All() {
		if ent.profile != nil {
			members = append(members, ent.member())
		}
	}
	return NewView(mac.Self(), members)
}

// NewView returns a view of the members as seen by one of them.
func NewView(self Member, members []Member) View {
	sorted := slices.SortedFunc(slices.Values(members), func(one, two Member) int {
		return strings.Compare(string(one.instance), string(two.instance))
	})
	vie := View{self: self, members: sorted, index: make(map[fleet.InstanceID]int, len(sorted))}
	for pos, mem := range sorted {
		vie.index[mem.instance] = pos
	}
	return vie
}

// Self returns the member whose view it is.
func (vie View) Self() Member { return vie.self }

// Len returns the number of members in any state.
func (vie View) Len() int { return len(vie.members) }

// Member returns the member with the identity, if there is one.
func (vie View) Member(id fleet.InstanceID) (Member, bool) {
	pos, found := vie.index[id]
	if !found {
		return Member{}, false
	}
	return vie.members[pos], true
}

// Select returns the members for which keep returns true, in order of their identity.
func (vie View) Select(keep func(mem Member) bool) []Member {
	var chosen []Member
	for _, mem := range vie.members {
		if keep(mem) {
			chosen = append(chosen, mem)
		}
	}
	return chosen
}

// Usable returns the members to which new work may be sent, in order of their identity.
func (vie View) Usable() []Member { return vie.Select(Member.Usable) }

// Member returns the member with the identity, if it is known with its profile. It does not find
// this process.
func (mac *Machine) Member(id fleet.InstanceID) (Member, bool) {
	ent, found := mac.roster.Get(id)
	if !found || ent.profile == nil {
		return Member{}, false
	}
	return ent.member(), true
}

// Count returns the number of other members that are in the state and whose profile is known.
func (mac *Machine) Count(sta State) int {
	count := 0
	for _, ent := range mac.roster.All() {
		if ent.profile != nil && ent.state() == sta {
			count++
		}
	}
	return count
}
