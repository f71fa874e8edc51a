package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the planner.
const (
	// drainTimeout is how long a draining machine waits for its short tasks, which take some seconds.
	drainTimeout = 6 * time.Second
	// maxRequestDelay is how long after a lost answer a request may still be executed. The platform
	// executes late requests within 12 s; the rest is a margin.
	maxRequestDelay = 15 * time.Second
	// minBackoff and maxBackoff bound the time after a refusal in which the machine is in normal use.
	minBackoff = 2 * time.Second
	maxBackoff = 30 * time.Second
	// goneAfter is how long a machine must be missing in the platform's lists to count as gone.
	goneAfter = 3 * time.Second
	// requestInterval is the minimum time between two requests for a machine.
	requestInterval = time.Second
	// hurryFraction is the fraction of a wave's time limit after which the planner no longer waits for
	// short tasks.
	hurryFraction = 0.5
)

// machine is the state of a machine in a wave.
type machine struct {
	phase         Phase
	stored        bool // the phase has been stored
	drainingSince time.Time
	requestedAt   time.Time
	pendingUntil  time.Time // an earlier request may be executed until then
	notBefore     time.Time // earliest time to drain the machine again after a refusal
	refusals      int       // consecutive
	missingSince  time.Time // zero while the machine is listed
	begunAt       time.Time
	upAgain       bool
}

type wave struct {
	Wave
	startedAt time.Time
	elapsed   time.Duration // at the latest call of Plan
	machines  map[MachineID]*machine
	complete  bool
}

// Planner schedules the upkeep of the machines of all waves.
type Planner struct {
	waves    map[int]*wave
	restored bool
	listed   map[MachineID]Machine
	listedAt time.Time // when the latest list was requested
	changed  map[int]bool
}

// SetWaves replaces the waves. Waves that were set before keep their progress.
func (pln *Planner) SetWaves(wavs []Wave, now time.Time) {
	old := pln.waves
	pln.waves = make(map[int]*wave, len(wavs))
	for _, wav := range wavs {
		if was := old[wav.number]; was != nil {
			pln.waves[wav.number] = was
			continue
		}
		nxt := &wave{Wave: wav, startedAt: now, machines: make(map[MachineID]*machine, len(wav.machines))}
		for _, id := range wav.machines {
			nxt.machines[id] = &machine{}
		}
		pln.waves[wav.number] = nxt
		pln.markChanged(wav.number)
	}
}

func (pln *Planner) markChanged(num int) {
	if pln.changed == nil {
		pln.changed = make(map[int]bool)
	}
	pln.changed[num] = true
}

// Restore sets the stored state of the waves after a takeover of the owner role, by their numbers. It
// must be called once, with an empty map if there is none. Before it, the planner drains nothing, makes
// no requests and has no changes to store, because these would replace the progress of the former owner.
func (pln *Planner) Restore(stored map[int]Stored, now time.Time) {
	pln.restored = true
	for num, sto := range stored {
		if wav := pln.waves[num]; wav != nil {
			wav.restore(sto, now)
		}
	}
}

func (wav *wave) restore(sto Stored, now time.Time) {
	wav.startedAt, wav.elapsed = now.Add(-sto.Elapsed), sto.Elapsed
	for id, phs := range sto.Progress {
		if mac := wav.machines[id]; mac != nil {
			// The start of an upkeep is not stored. The machine counts as down until a list
			// requested from now on shows it as up.
			mac.phase, mac.stored, mac.begunAt, mac.pendingUntil = phs, true, now, now.Add(maxRequestDelay)
		}
	}
	// The former owner may have reported the wave as complete, so it must not be reported as running again.
	wav.complete = len(sto.Progress) > 0 && wav.allDown()
}

// Active reports whether there is an incomplete wave.
func (pln *Planner) Active() bool {
	for _, wav := range pln.waves {
		if !wav.complete {
			return true
		}
	}
	return false
}

// UpdateMachines applies the platform's list of machines that was requested at requestedAt. It ignores
// a list that was requested before the latest one.
func (pln *Planner) UpdateMachines(macs []Machine, requestedAt time.Time) {
	if requestedAt.Before(pln.listedAt) {
		return
	}
	pln.listed, pln.listedAt = make(map[MachineID]Machine, len(macs)), requestedAt
	for _, mac := range macs {
		pln.listed[mac.id] = mac
	}
	for _, wav := range pln.waves {
		for id, mac := range wav.machines {
			lst, found := pln.listed[id]
			if found {
				mac.missingSince = time.Time{}
			}
			switch {
			case !found && mac.missingSince.IsZero():
				mac.missingSince = requestedAt
			case !found:
				if requestedAt.Sub(mac.missingSince) >= goneAfter {
					pln.setPhase(wav, mac, Gone)
				}
			case mac.phase == Gone && !wav.complete:
				pln.setPhase(wav, mac, "")
			case mac.phase == Begun && requestedAt.After(mac.begunAt):
				mac.upAgain = lst.state == Up
			}
		}
	}
}

func (pln *Planner) setPhase(wav *wave, mac *machine, phs Phase) {
	if mac.phase == phs {
		return
	}
	mac.phase, mac.stored = phs, false
	pln.markChanged(wav.number)
}

// down returns the number of machines of a wave that are or may be down for upkeep.
func (wav *wave) down() int {
	num := 0
	for _, mac := range wav.machines {
		if mac.phase == Requested || mac.phase == Begun && !mac.upAgain {
			num++
		}
	}
	return num
}

// Draining returns the workers that must get no new work and whose tasks must move away. It starts
// draining the machines that go down next, up to the limit of each wave, in which draining machines
// count like those that are down.
func (pln *Planner) Draining(src LoadSource, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, wav := range pln.waves {
		if wav.complete || !pln.restored {
			continue
		}
		free := wav.limit - wav.down()
		for id, mac := range wav.machines {
			if mac.phase == Requested {
				out[pln.listed[id].worker] = true
			}
		}
		for _, id := range pln.candidates(wav, src, now) {
			mac := wav.machines[id]
			if free <= 0 {
				mac.drainingSince = time.Time{}
				continue
			}
			free--
			if mac.drainingSince.IsZero() {
				mac.drainingSince = now
			}
			out[pln.listed[id].worker] = true
		}
	}
	delete(out, "")
	return out
}

// candidates returns the machines of a wave that are up and still need their upkeep: first those that
// are draining, then those with the fewest tasks.
func (pln *Planner) candidates(wav *wave, src LoadSource, now time.Time) []MachineID {
	var out []MachineID
	for id, mac := range wav.machines {
		if lst, found := pln.listed[id]; found && mac.phase == "" && lst.state == Up && !now.Before(mac.notBefore) {
			out = append(out, id)
		}
	}
	weight := func(id MachineID) int {
		lod := src.Load(pln.listed[id].worker)
		return lod.LongRunning + lod.Short
	}
	slices.SortFunc(out, func(one, two MachineID) int {
		switch stays, oth := wav.machines[one].drainingSince.IsZero(), wav.machines[two].drainingSince.IsZero(); {
		case stays && !oth:
			return 1
		case oth && !stays:
			return -1
		}
		return cmp.Or(cmp.Compare(weight(one), weight(two)), cmp.Compare(one, two))
	})
	return out
}

// Plan moves drained machines to Requested. Requests returns their requests when the progress is
// stored.
func (pln *Planner) Plan(src LoadSource, now time.Time) {
	for _, wav := range pln.waves {
		hurried := wav.hurry()
		wav.elapsed = now.Sub(wav.startedAt)
		hurry := wav.hurry()
		if hurry && !hurried && !wav.complete {
			// A new owner must not wait for short tasks again.
			pln.markChanged(wav.number)
		}
		for id, mac := range wav.machines {
			if mac.phase != "" || mac.drainingSince.IsZero() || wav.down() >= wav.limit {
				continue
			}
			lod := src.Load(pln.listed[id].worker)
			waitForShort := lod.Short > 0 && !hurry && now.Sub(mac.drainingSince) < drainTimeout
			if lod.LongRunning == 0 && !waitForShort {
				pln.setPhase(wav, mac, Requested)
			}
		}
		if !wav.complete && wav.allDown() {
			wav.complete = true
			pln.markChanged(wav.number)
		}
	}
}

// hurry reports whether the wave has taken so much of its time limit that it no longer waits for short tasks.
func (wav *wave) hurry() bool {
	return wav.elapsed > time.Duration(hurryFraction*float64(wav.timeLimit))
}

// allDown reports whether the upkeep of every machine has begun, except for machines that are gone.
func (wav *wave) allDown() bool {
	for _, mac := range wav.machines {
		if mac.phase != Begun && mac.phase != Gone {
			return false
		}
	}
	return true
}

// Change is the state of a wave to be stored. Complete is reported to the operators after that.
type Change struct {
	Stored
	Wave     int
	Complete bool
}

// Changed reports whether TakeChanges would return changes.
func (pln *Planner) Changed() bool { return pln.restored && len(pln.changed) > 0 }

// TakeChanges returns the changes to store. Each of them must be followed by ChangesStored or
// ChangesUncertain.
func (pln *Planner) TakeChanges() []Change {
	if !pln.restored {
		return nil
	}
	var out []Change
	for _, num := range slices.Sorted(maps.Keys(pln.changed)) {
		wav := pln.waves[num]
		if wav == nil {
			continue
		}
		prg := make(Progress)
		for id, mac := range wav.machines {
			if mac.phase != "" {
				prg[id] = mac.phase
			}
		}
		out = append(out, Change{Wave: num, Stored: Stored{Progress: prg, Elapsed: wav.elapsed}, Complete: wav.complete})
	}
	pln.changed = nil
	return out
}

// ChangesStored records that changes have been stored.
func (pln *Planner) ChangesStored(chgs []Change) {
	for _, chg := range chgs {
		wav := pln.waves[chg.Wave]
		if wav == nil {
			continue
		}
		for id, phs := range chg.Progress {
			if mac := wav.machines[id]; mac != nil && mac.phase == phs {
				mac.stored = true
			}
		}
	}
}

// ChangesUncertain records that changes may not have been stored, so that they are stored again.
func (pln *Planner) ChangesUncertain(chgs []Change) {
	for _, chg := range chgs {
		pln.markChanged(chg.Wave)
	}
}

// Requests returns the requests to make now: those that are stored, are not confirmed and were not
// made within requestInterval.
func (pln *Planner) Requests(now time.Time) []Request {
	var out []Request
	for _, num := range slices.Sorted(maps.Keys(pln.waves)) {
		wav := pln.waves[num]
		for _, id := range slices.Sorted(maps.Keys(wav.machines)) {
			mac := wav.machines[id]
			if mac.phase != Requested || !mac.stored || now.Sub(mac.requestedAt) < requestInterval {
				continue
			}
			mac.requestedAt = now
			mac.pendingUntil = later(mac.pendingUntil, now)
			out = append(out, Request{Wave: num, Machine: id})
		}
	}
	return out
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// RequestEnded applies the outcome of a request. A refused machine returns to normal use for a while,
// unless an earlier request for it may still be executed. In that case it still counts as down, and
// the request is repeated.
func (pln *Planner) RequestEnded(req Request, out RequestOutcome, now time.Time) {
	wav := pln.waves[req.Wave]
	if wav == nil || wav.machines[req.Machine] == nil || wav.machines[req.Machine].phase != Requested {
		return
	}
	mac := wav.machines[req.Machine]
	switch out {
	case Confirmed:
		mac.begunAt = now
		pln.setPhase(wav, mac, Begun)
	case NoSuchMachine:
		pln.setPhase(wav, mac, Gone)
	case Unknown:
		mac.pendingUntil = now.Add(maxRequestDelay)
	case Refused:
		if now.Before(mac.pendingUntil) {
			return
		}
		pln.setPhase(wav, mac, "")
		mac.drainingSince = time.Time{}
		mac.notBefore = now.Add(min(maxBackoff, minBackoff<<min(mac.refusals, 4)))
		mac.refusals++
	}
}
