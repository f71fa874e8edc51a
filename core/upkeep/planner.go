package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the planner.
const (
	// leavePatience is how long a machine may wait for its short tasks. They last some seconds.
	leavePatience = 6 * time.Second
	// openFor is how long a request without an answer may still be carried out, with a margin:
	// the platform carries out late orders within 12 s.
	openFor = 15 * time.Second
	// firstBackoff and lastBackoff bound the wait after refusals, in which the machine works on.
	firstBackoff = 2 * time.Second
	lastBackoff  = 30 * time.Second
	// goneAfter is how long lists must lack a machine until it counts as gone.
	goneAfter = 3 * time.Second
	// askAgain paces the repetition of a request.
	askAgain = time.Second
	// hurryPart is the part of the time of a wave after which short tasks are waited for no longer.
	hurryPart = 0.5
)

// machine is what the planner knows of a machine of a wave.
type machine struct {
	phase     Phase
	stored    bool // the phase is stored
	leavingAt time.Time
	askedAt   time.Time
	openUntil time.Time // an earlier request may be carried out until then
	notBefore time.Time // after a refusal
	refusals  int       // in a row
	missingAt time.Time // since when lists lack the machine
	begunAt   time.Time
	back      bool
}

type wave struct {
	Wave
	since    time.Time
	machines map[MachineID]*machine
	complete bool
}

// Planner takes the machines of waves down, a few at a time.
type Planner struct {
	waves    map[int]*wave
	listed   map[MachineID]Machine
	listedAt time.Time // when the newest list was asked for
	dirty    map[int]bool
}

// SetWaves replaces the waves. Waves that are known keep their progress.
func (pln *Planner) SetWaves(wavs []Wave, now time.Time) {
	old := pln.waves
	pln.waves = make(map[int]*wave, len(wavs))
	for _, wav := range wavs {
		if was := old[wav.number]; was != nil {
			pln.waves[wav.number] = was
			continue
		}
		nxt := &wave{Wave: wav, since: now, machines: make(map[MachineID]*machine, len(wav.machines))}
		for _, id := range wav.machines {
			nxt.machines[id] = &machine{}
		}
		pln.waves[wav.number] = nxt
		pln.mark(wav.number)
	}
}

func (pln *Planner) mark(num int) {
	if pln.dirty == nil {
		pln.dirty = make(map[int]bool)
	}
	pln.dirty[num] = true
}

// Restore sets the stored progress of a wave after a takeover.
func (pln *Planner) Restore(num int, prg Progress, now time.Time) {
	wav := pln.waves[num]
	if wav == nil {
		return
	}
	for id, phs := range prg {
		if mac := wav.machines[id]; mac != nil && mac.phase == "" {
			// When a confirmed upkeep began is not stored; its machine is back when a list says so.
			mac.phase, mac.stored, mac.begunAt, mac.openUntil = phs, true, now, now.Add(openFor)
		}
	}
}

// Active reports whether a wave is not complete.
func (pln *Planner) Active() bool {
	for _, wav := range pln.waves {
		if !wav.complete {
			return true
		}
	}
	return false
}

// List applies the platform's list of machines, asked for at the given time.
func (pln *Planner) UpdateMachines(macs []Machine, askedAt time.Time) {
	if askedAt.Before(pln.listedAt) {
		return
	}
	pln.listed, pln.listedAt = make(map[MachineID]Machine, len(macs)), askedAt
	for _, mac := range macs {
		pln.listed[mac.id] = mac
	}
	for _, wav := range pln.waves {
		for id, mac := range wav.machines {
			lst, found := pln.listed[id]
			if found {
				mac.missingAt = time.Time{}
			}
			switch {
			case !found && mac.missingAt.IsZero():
				mac.missingAt = askedAt
			case !found:
				if askedAt.Sub(mac.missingAt) >= goneAfter {
					pln.set(wav, mac, Gone)
				}
			case mac.phase == Gone && !wav.complete:
				pln.set(wav, mac, "")
			case mac.phase == Begun && askedAt.After(mac.begunAt):
				mac.back = lst.state == Up
			}
		}
	}
}

func (pln *Planner) set(wav *wave, mac *machine, phs Phase) {
	if mac.phase == phs {
		return
	}
	mac.phase, mac.stored = phs, false
	pln.mark(wav.number)
}

// down returns the machines of a wave that are or may be down for their upkeep.
func (wav *wave) down() int {
	num := 0
	for _, mac := range wav.machines {
		if mac.phase == Requested || mac.phase == Begun && !mac.back {
			num++
		}
	}
	return num
}

// Leaving returns the workers that must get no new work and be emptied, for the machines
// that go down next. Machines that leave count like those that are down.
func (pln *Planner) Draining(sit LoadSource, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, wav := range pln.waves {
		if wav.complete {
			continue
		}
		free := wav.limit - wav.down()
		for id, mac := range wav.machines {
			if mac.phase == Requested {
				out[pln.listed[id].worker] = true
			}
		}
		for _, id := range pln.waiting(wav, sit, now) {
			mac := wav.machines[id]
			if free <= 0 {
				mac.leavingAt = time.Time{}
				continue
			}
			free--
			if mac.leavingAt.IsZero() {
				mac.leavingAt = now
			}
			out[pln.listed[id].worker] = true
		}
	}
	delete(out, "")
	return out
}

// waiting returns the machines of a wave that are up and still to be taken down: those
// that leave already first, then those that run least.
func (pln *Planner) waiting(wav *wave, sit LoadSource, now time.Time) []MachineID {
	var out []MachineID
	for id, mac := range wav.machines {
		if lst, found := pln.listed[id]; found && mac.phase == "" && lst.state == Up && !now.Before(mac.notBefore) {
			out = append(out, id)
		}
	}
	weight := func(id MachineID) int {
		lod := sit.Load(pln.listed[id].worker)
		return lod.Lasting + lod.Short
	}
	slices.SortFunc(out, func(one, two MachineID) int {
		switch stays, oth := wav.machines[one].leavingAt.IsZero(), wav.machines[two].leavingAt.IsZero(); {
		case stays && !oth:
			return 1
		case oth && !stays:
			return -1
		}
		return cmp.Or(cmp.Compare(weight(one), weight(two)), cmp.Compare(one, two))
	})
	return out
}

// Plan marks the machines that are ready to go down. Their requests follow when the progress is stored.
func (pln *Planner) Plan(sit LoadSource, now time.Time) {
	for _, wav := range pln.waves {
		hurry := now.Sub(wav.since) > time.Duration(hurryPart*float64(wav.within))
		for id, mac := range wav.machines {
			if mac.phase != "" || mac.leavingAt.IsZero() || wav.down() >= wav.limit {
				continue
			}
			lod := sit.Load(pln.listed[id].worker)
			patient := lod.Short > 0 && !hurry && now.Sub(mac.leavingAt) < leavePatience
			if lod.Lasting == 0 && !patient {
				pln.set(wav, mac, Requested)
			}
		}
		if !wav.complete && wav.done() {
			wav.complete = true
			pln.mark(wav.number)
		}
	}
}

// done reports whether every machine that stays has begun its upkeep.
func (wav *wave) done() bool {
	for _, mac := range wav.machines {
		if mac.phase != Begun && mac.phase != Gone {
			return false
		}
	}
	return true
}

// Change is the progress of a wave to be stored, and what to tell the operators then.
type Change struct {
	Wave     int
	Progress Progress
	Complete bool
}

// Changed reports whether there are changes to store.
func (pln *Planner) Changed() bool { return len(pln.dirty) > 0 }

// Take returns the changes to store.
func (pln *Planner) TakeChanges() []Change {
	var out []Change
	for _, num := range slices.Sorted(maps.Keys(pln.dirty)) {
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
		out = append(out, Change{Wave: num, Progress: prg, Complete: wav.complete})
	}
	pln.dirty = nil
	return out
}

// Stored notes that changes are stored.
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

// Abandoned notes that it is not known whether changes are stored.
func (pln *Planner) ChangesUncertain(chgs []Change) {
	for _, chg := range chgs {
		pln.mark(chg.Wave)
	}
}

// Requests returns the requests to make now: stored ones that are not confirmed.
func (pln *Planner) Requests(now time.Time) []Request {
	var out []Request
	for _, num := range slices.Sorted(maps.Keys(pln.waves)) {
		wav := pln.waves[num]
		for _, id := range slices.Sorted(maps.Keys(wav.machines)) {
			mac := wav.machines[id]
			if mac.phase != Requested || !mac.stored || now.Sub(mac.askedAt) < askAgain {
				continue
			}
			mac.askedAt = now
			mac.openUntil = later(mac.openUntil, now)
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

// Answer applies the end of a request. A refused machine goes back to work for a while, unless
// an earlier request for it may still be carried out: then it stays counted as down, and
// the request is repeated.
func (pln *Planner) RequestEnded(req Request, ver RequestOutcome, now time.Time) {
	wav := pln.waves[req.Wave]
	if wav == nil || wav.machines[req.Machine] == nil || wav.machines[req.Machine].phase != Requested {
		return
	}
	mac := wav.machines[req.Machine]
	switch ver {
	case Confirmed:
		mac.begunAt = now
		pln.set(wav, mac, Begun)
	case NoSuchMachine:
		pln.set(wav, mac, Gone)
	case Unknown:
		mac.openUntil = now.Add(openFor)
	case Refused:
		if now.Before(mac.openUntil) {
			return
		}
		pln.set(wav, mac, "")
		mac.leavingAt = time.Time{}
		mac.notBefore = now.Add(min(lastBackoff, firstBackoff<<min(mac.refusals, 4)))
		mac.refusals++
	}
}
