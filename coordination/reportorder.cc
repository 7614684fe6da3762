#include "coordination/reportorder.h"

namespace briarwharf {

bool precedes(const ReportOrder& first, const ReportOrder& second)
{
    if (first.started != second.started)
        return first.started < second.started;
    bool isSameLifetime = first.started != 0;
    return isSameLifetime && first.sequence && second.sequence && *first.sequence < *second.sequence;
}

} // namespace briarwharf
