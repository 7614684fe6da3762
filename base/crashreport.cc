#include "base/crashreport.h"

#include "base/log.h"
#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <span>
#include <string_view>
#include <ucontext.h>
#include <unistd.h>

#if defined(__SANITIZE_ADDRESS__)
#define BRIARWHARF_ADDRESS_SANITIZER 1
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
#define BRIARWHARF_ADDRESS_SANITIZER 1
#endif
#endif

namespace briarwharf {

namespace {

#if defined(BRIARWHARF_ADDRESS_SANITIZER)
    constexpr bool sanitizerReports = true;
#else
    constexpr bool sanitizerReports = false;
#endif

    struct FatalSignal {
        int number = 0;
        std::string_view name;
    };
    constexpr std::array<FatalSignal, 5> fatalSignals { {
        { SIGSEGV, "SIGSEGV" },
        { SIGBUS, "SIGBUS" },
        { SIGILL, "SIGILL" },
        { SIGFPE, "SIGFPE" },
        { SIGABRT, "SIGABRT" },
    } };

    // The unwinder needs up to some 10 KB, and the saved registers of some processors as much.
    constexpr std::size_t alternateStackBytes = 128 * 1024;

    constexpr std::size_t maxModules = 64;
    constexpr std::size_t maxFrames = 48;

    // Ends the process if the report hangs, for example because the interrupted code holds a lock of the
    // loader that the unwinder needs.
    constexpr unsigned reportTimeoutSeconds = 2;

    // A reader that accepts nothing for this long does not hold up the end of the process.
    constexpr int outputTimeoutMs = 200;
    constexpr std::size_t maxWriteBytes = 4096; // PIPE_BUF: does not block on a pipe that polls as writable

    // The program or a shared library, as loaded when the report was installed.
    struct Module {
        std::uintptr_t loadAddress = 0; // of offset 0
        std::uintptr_t begin = 0;
        std::uintptr_t end = 0;
        std::array<char, 48> name {};
    };

    // Everything that the handler uses, so that it allocates nothing.
    struct Report {
        std::array<Module, maxModules> modules {};
        std::size_t moduleCount = 0;
        std::array<void*, maxFrames> frames {};
        alignas(16) std::array<char, alternateStackBytes> alternateStack {};
    };
    Report report;

    // A text in a fixed buffer; what does not fit is dropped.
    class FixedText {
    public:
        FixedText& operator<<(std::string_view text)
        {
            m_size += text.copy(m_bytes.data() + m_size, m_bytes.size() - m_size);
            return *this;
        }
        FixedText& number(std::uint64_t value, int base = 10)
        {
            std::array<char, 20> digits {};
            auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
            return *this << std::string_view(digits.data(), result.ptr);
        }
        FixedText& padded(unsigned value, unsigned width)
        {
            for (unsigned bound = 10; width > 1; --width, bound *= 10) {
                if (value < bound)
                    *this << "0";
            }
            return number(value);
        }
        std::string_view text() const { return { m_bytes.data(), m_size }; }

    private:
        std::array<char, maxWriteBytes> m_bytes;
        std::size_t m_size = 0;
    };

    // Only with functions that are async-signal-safe. Returns false if not all was written.
    bool writeOutput(std::string_view bytes)
    {
        while (!bytes.empty()) {
            pollfd request { STDOUT_FILENO, POLLOUT, 0 };
            if (poll(&request, 1, outputTimeoutMs) != 1)
                return false;
            ssize_t count = ::write(STDOUT_FILENO, bytes.data(), std::min(bytes.size(), maxWriteBytes));
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // The format of the other log lines.
    void appendTime(FixedText& out)
    {
        timespec now {};
        clock_gettime(CLOCK_REALTIME, &now);
        std::chrono::sys_seconds seconds { std::chrono::seconds(now.tv_sec) };
        auto day = std::chrono::floor<std::chrono::days>(seconds);
        std::chrono::year_month_day date(day);
        std::chrono::hh_mm_ss time(seconds - day);
        out.padded(static_cast<unsigned>(static_cast<int>(date.year())), 4) << "-";
        out.padded(static_cast<unsigned>(date.month()), 2) << "-";
        out.padded(static_cast<unsigned>(date.day()), 2) << "T";
        out.padded(static_cast<unsigned>(time.hours().count()), 2) << ":";
        out.padded(static_cast<unsigned>(time.minutes().count()), 2) << ":";
        out.padded(static_cast<unsigned>(time.seconds().count()), 2) << ".";
        out.padded(static_cast<unsigned>(now.tv_nsec / 1000000), 3) << "Z";
    }

    std::string_view nameOf(int signal)
    {
        auto found = std::find_if(fatalSignals.begin(), fatalSignals.end(),
            [signal](const FatalSignal& candidate) { return candidate.number == signal; });
        return found == fatalSignals.end() ? "unknown" : found->name;
    }

    std::uintptr_t interruptedAddress(const void* context)
    {
        const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
        return static_cast<std::uintptr_t>(machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
        return static_cast<std::uintptr_t>(machine.pc);
#else
        static_cast<void>(machine);
        return 0;
#endif
    }

    // As "module+0xoffset", the arguments that addr2line takes for a position-independent program.
    void appendAddress(FixedText& out, std::uintptr_t address)
    {
        auto end = report.modules.begin() + static_cast<std::ptrdiff_t>(report.moduleCount);
        auto module = std::find_if(report.modules.begin(), end, [address](const Module& candidate) {
            return candidate.begin <= address && address < candidate.end;
        });
        if (module == end) {
            out << "0x";
            out.number(address, 16);
            return;
        }
        out << module->name.data() << "+0x";
        out.number(address - module->loadAddress, 16);
    }

    // The interrupted instruction and the calls that led to it, without the frames of the handler.
    void appendFrames(FixedText& out, std::uintptr_t interrupted)
    {
        int count = backtrace(report.frames.data(), static_cast<int>(report.frames.size()));
        std::span<void*> frames(report.frames.data(), static_cast<std::size_t>(std::max(count, 0)));
        auto address = [](void* frame) { return reinterpret_cast<std::uintptr_t>(frame); };
        auto first = std::find_if(
            frames.begin(), frames.end(), [&](void* frame) { return address(frame) == interrupted; });
        if (first == frames.end())
            first = frames.begin();
        for (auto frame = first; frame != frames.end(); ++frame) {
            out << (frame == first ? "\"" : ",\"");
            // A return address may already belong to the next line; the byte before it is the call's.
            appendAddress(out, frame == first ? address(*frame) : address(*frame) - 1);
            out << "\"";
        }
    }

    // The line is written in two parts: the unwinder may fail on a damaged stack, and the first part remains.
    void handleFatalSignal(int signal, siginfo_t* info, void* context)
    {
        alarm(reportTimeoutSeconds);
        bool complete = writeOutput(bufferedLogLines());
        FixedText start;
        start << (complete ? "" : "\n") << R"({"time":")";
        appendTime(start);
        start << R"(","level":"error","part":"process","event":"crashed","signal":")" << nameOf(signal);
        if (info->si_code > 0) {
            start << R"(","address":"0x)";
            start.number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
        } else {
            start << R"(","sender":")"; // sent by a process, in abort() by itself
            start.number(static_cast<std::uint64_t>(info->si_pid));
        }
        start << R"(","version":")" << BRIARWHARF_VERSION << R"(","at":")";
        std::uintptr_t interrupted = interruptedAddress(context);
        appendAddress(start, interrupted);
        start << R"(","backtrace":[)";
        writeOutput(start.text());
        FixedText rest;
        appendFrames(rest, interrupted);
        rest << "]}\n";
        writeOutput(rest.text());
        raise(signal); // blocked until the handler returns; the default action is in force again
    }

    int addModule(dl_phdr_info* info, std::size_t, void*)
    {
        if (report.moduleCount == report.modules.size())
            return 1;
        Module module;
        module.loadAddress = info->dlpi_addr;
        module.begin = UINTPTR_MAX;
        for (std::size_t index = 0; index < info->dlpi_phnum; ++index) {
            const auto& header = info->dlpi_phdr[index];
            if (header.p_type != PT_LOAD)
                continue;
            std::uintptr_t begin = info->dlpi_addr + header.p_vaddr;
            module.begin = std::min(module.begin, begin);
            module.end = std::max(module.end, begin + header.p_memsz);
        }
        std::string_view path = info->dlpi_name;
        std::string_view name = path.substr(path.rfind('/') + 1); // the whole path without a slash
        if (name.empty()) // the program itself
            name = program_invocation_short_name;
        name.copy(module.name.data(), module.name.size() - 1);
        report.modules[report.moduleCount++] = module;
        return 0;
    }

} // namespace

bool installCrashReport()
{
    if constexpr (sanitizerReports)
        return false;
    bufferedLogLines(); // creates the log's sink
    // The first call loads the unwinder's library, which allocates.
    backtrace(report.frames.data(), static_cast<int>(report.frames.size()));
    report.moduleCount = 0;
    dl_iterate_phdr(&addModule, nullptr);
    stack_t stack {};
    stack.ss_sp = report.alternateStack.data();
    stack.ss_size = report.alternateStack.size();
    sigaltstack(&stack, nullptr);
    struct sigaction action { };
    action.sa_sigaction = &handleFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    sigfillset(&action.sa_mask);
    sigdelset(&action.sa_mask, SIGALRM); // its default action ends a report that hangs
    for (const FatalSignal& signal : fatalSignals)
        sigaction(signal.number, &action, nullptr);
    return true;
}

} // namespace briarwharf
