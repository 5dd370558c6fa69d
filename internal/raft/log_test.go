package raft

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func logWithTerms(terms ...uint64) *entryLog {
	log := &entryLog{}
	log.append(entriesWithTerms(terms...)...)
	return log
}

// nondecreasingTerms returns the terms of a log, starting from term 1 and
// increased by each step.
func nondecreasingTerms(steps []int) []uint64 {
	terms := make([]uint64, 0, len(steps))
	term := uint64(1)
	for _, step := range steps {
		term += uint64(step)
		terms = append(terms, term)
	}
	return terms
}

func stepsGenerator() gopter.Gen { return gen.SliceOfN(12, gen.IntRange(0, 1)) }

// TestMergeMakesThePrefixEqual merges any part of a leader's log that follows
// a matching index. Afterwards both logs are equal up to the end of that part.
func TestMergeMakesThePrefixEqual(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("merge equals the leader's log", prop.ForAll(
		func(common, follower, leader []int, from, count int) bool {
			shared := nondecreasingTerms(common)
			followerTerms := append(slices.Clone(shared), addToTerms(nondecreasingTerms(follower), 100)...)
			leaderTerms := append(slices.Clone(shared), addToTerms(nondecreasingTerms(leader), 200)...)
			log := logWithTerms(followerTerms...)
			start := min(from, len(shared))
			end := min(start+count, len(leaderTerms))
			log.merge(entriesWithTerms(leaderTerms...)[start:end])
			for index := 1; index <= end; index++ {
				if !log.matches(uint64(index), leaderTerms[index-1]) {
					return false
				}
			}
			return end > len(shared) || log.lastIndex() == uint64(len(followerTerms))
		},
		stepsGenerator(), stepsGenerator(), stepsGenerator(), gen.IntRange(0, 12), gen.IntRange(0, 24),
	))
	properties.TestingRun(t)
}

// addToTerms adds by to each term.
func addToTerms(terms []uint64, by uint64) []uint64 {
	for position := range terms {
		terms[position] += by
	}
	return terms
}

// scaleTerms doubles each term and adds an offset.
func scaleTerms(terms []uint64, offset uint64) []uint64 {
	for position := range terms {
		terms[position] = 2*terms[position] + offset
	}
	return terms
}

// TestConflictHintsSkipNoMatchingIndex follows rejections until the logs match
// and checks that the search ends at the last matching index without skipping
// it.
func TestConflictHintsSkipNoMatchingIndex(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("the search ends at the longest common prefix", prop.ForAll(
		func(common, follower, leader []int) bool {
			shared := nondecreasingTerms(common)
			base := shared[len(shared)-1]
			// A term has one leader, so two logs share no term after the
			// first difference: one gets even offsets, the other odd ones.
			followerTerms := append(slices.Clone(shared), scaleTerms(nondecreasingTerms(follower), base)...)
			leaderTerms := append(slices.Clone(shared), scaleTerms(nondecreasingTerms(leader), base+1)...)
			return conflictSearchFindsCommonPrefix(followerTerms, leaderTerms)
		},
		stepsGenerator(), stepsGenerator(), stepsGenerator(),
	))
	properties.TestingRun(t)
}

// conflictSearchFindsCommonPrefix reports whether the leader's search for the
// last matching index ends at the end of the longest common prefix.
func conflictSearchFindsCommonPrefix(followerTerms, leaderTerms []uint64) bool {
	follower, leader := logWithTerms(followerTerms...), logWithTerms(leaderTerms...)
	longest := uint64(0)
	for int(longest) < min(len(followerTerms), len(leaderTerms)) && followerTerms[longest] == leaderTerms[longest] {
		longest++
	}
	position := leader.lastIndex()
	for attempt := 0; attempt <= len(leaderTerms); attempt++ {
		term, _ := leader.term(position)
		if follower.matches(position, term) {
			return position == longest
		}
		hint, hintTerm := follower.conflictHint(position, term)
		next, _ := leader.conflictHint(hint, hintTerm)
		next = min(next, position-1)
		if next < longest {
			return false
		}
		position = next
	}
	return false
}

func TestBatchIsBounded(t *testing.T) {
	log := &entryLog{}
	for index := uint64(1); index <= 10; index++ {
		log.append(Entry{Index: index, Term: 1, Data: make([]byte, 100)})
	}
	cases := []struct {
		name       string
		maxEntries int
		maxBytes   int
		count      int
	}{
		{"by entries", 3, 10_000, 3},
		{"by bytes", 100, 250, 2},
		{"at least one", 100, 10, 1},
		{"to the end", 100, 10_000, 10},
	}
	for _, bound := range cases {
		t.Run(bound.name, func(t *testing.T) {
			require.Len(t, log.batch(1, bound.maxEntries, bound.maxBytes), bound.count)
		})
	}
	require.Empty(t, log.batch(11, 3, 1000))
}

func TestCompactKeepsTermsOfRemainingEntries(t *testing.T) {
	log := logWithTerms(1, 1, 2, 3)
	log.committed, log.applied = 3, 3
	log.compact(2)
	require.Equal(t, uint64(2), log.base)
	for index, wanted := range map[uint64]uint64{2: 1, 3: 2, 4: 3} {
		term, known := log.term(index)
		require.True(t, known)
		require.Equal(t, wanted, term)
	}
	_, known := log.term(1)
	require.False(t, known)
	log.compact(4)
	require.Equal(t, uint64(2), log.base, "entries that are not applied are kept")
}

func TestQuorumValueIsHighestReachedByQuorum(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("a quorum reached the value and none reached more", prop.ForAll(
		func(values []uint64) bool {
			var ids []MemberID
			for position := range values {
				ids = append(ids, MemberID(position+1))
			}
			raft := New(Options{ID: 1, ElectionTimeout: testElectionTimeout}, State{Snapshot: Snapshot{SnapshotMeta: SnapshotMeta{Configuration: configurationWithVoters(ids...)}}})
			raft.progress = make(map[MemberID]*Progress)
			for position, id := range ids {
				raft.progress[id] = &Progress{Match: values[position]}
			}
			found := raft.quorumValue(func(progress *Progress) uint64 { return progress.Match })
			reached, more := 0, 0
			for _, value := range values {
				if value >= found {
					reached++
				}
				if value > found {
					more++
				}
			}
			return reached >= len(values)/2+1 && more < len(values)/2+1
		},
		gen.SliceOfN(5, gen.UInt64Range(0, 6)),
	))
	properties.TestingRun(t)
}

func TestConfigurationSurvivesEncoding(t *testing.T) {
	configuration := configurationWithVoters(1, 2, 5)
	configuration.Members[1].Learner = true
	data, err := EncodeConfiguration(configuration)
	require.NoError(t, err)
	decoded, err := DecodeConfiguration(data)
	require.NoError(t, err)
	require.Equal(t, configuration, decoded)
	require.True(t, decoded.Removed(3))
	require.False(t, decoded.Removed(2))
	require.False(t, decoded.Removed(6), "an ID that was never assigned was not removed")
	require.Equal(t, 2, decoded.Quorum())
}
