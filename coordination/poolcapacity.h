#pragma once

#include "base/time.h"
#include <deque>

namespace briarwharf {

// What is known of a pool of plain services, summed over the instances that news arrives from.
struct PoolObservation {
    double places = 0; // slots of the usable upstreams
    double inProgress = 0; // requests there, running or waiting
    double meanHolding = 0; // seconds for which a request that did not wait held its slot; 0: not known
    double servedPerSecond = 0; // complete answers
    double targetSeconds = 0; // within which callers expect an answer; 0: not known
    bool complete = true; // the sums are those of all instances
    bool scarce = false; // requests are refused at present
};

// Selects the answers that tell for how long a request holds a slot. Some requests wait although slots of
// other upstreams are free, because the counts of requests elsewhere are up to a second old; answers that
// take much longer than the quickest quarter are therefore left out.
class HoldingFilter {
public:
    bool accepts(double seconds);

private:
    double m_quartile = 0; // seconds
};

// Estimates how many requests a second a pool can serve: its slots divided by the time for which a request
// holds one. That time is learnt while slots are free. It is the shortest mean of the latest such seconds,
// because the answers at the start of an overload include waiting times.
//
// The estimate is corrected by what the pool shows under load: while requests wait, its capacity is what it
// serves; while slots are free although requests are refused, its capacity is higher than estimated.
class PoolCapacity {
public:
    // Call it about every 100 ms.
    void update(const PoolObservation&, MonotonicTime now);

    double perSecond() const { return m_perSecond; } // 0: not known
    double holdingSeconds() const; // 0: not known
    double places() const { return m_places; }
    // Requests in progress per slot, averaged over about half a second.
    double occupancy() const { return m_occupancy; }
    double latestOccupancy() const { return m_places > 0 ? m_inProgress / m_places : 0; }
    // Whether answers show for how long a request holds a slot, without time in a queue.
    bool isCalm() const;

    // Whether requests wait at all upstreams.
    bool isFull() const { return m_occupancy >= m_fullOccupancy; }

    // The share of the requests beyond an organisation's share that is to be refused, by the requests that
    // wait: from 0 while slots are free to 1.
    double refusedShare() const;

    // Estimated time until a request that arrives now is answered, in seconds; 0: not known, or no request
    // waits.
    double expectedSeconds() const;

private:
    void recordHolding(double meanHolding, MonotonicTime now);
    double fullOccupancy(double targetSeconds) const;
    void correct(const PoolObservation&, double nominal, double elapsed);

    std::deque<double> m_holdings; // means of the latest calm seconds
    MonotonicTime m_holdingRecordedAt;
    MonotonicTime m_updatedAt;
    double m_places = 0;
    double m_inProgress = 0;
    double m_occupancy = 0;
    double m_fullOccupancy = 0; // from which requests wait at all upstreams
    double m_wantedOccupancy = 0; // while requests are refused
    double m_factor = 1; // of slots / holding time
    double m_perSecond = 0;
    bool m_scarce = false;
};

} // namespace briarwharf
