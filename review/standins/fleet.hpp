// Starts the fleet with the command of the deploy file and settings rendered from its template, and ends it.
#pragma once

#include "net.hpp"
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

inline std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

struct Instance {
    std::string name;
    std::string ip;
    std::string zone;
    int front = 0;
    int ready = 0;
    std::string settings;
    pid_t pid = -1;
};

class Fleet {
public:
    // `folder` takes the settings files and what the processes write.
    Fleet(std::string folder, int storePort, int size)
        : m_folder(std::move(folder))
    {
        std::vector<std::string> ips;
        for (int index = 0; index < size; ++index)
            ips.push_back("127.0.0." + std::to_string(2 + index));
        int front = freePort(ips);
        int ready = freePort(ips);
        int internal = freePort(ips);
        std::string seeds;
        for (int index = 0; index < size && index < 3; ++index)
            seeds += (seeds.empty() ? "" : ",") + ips[static_cast<std::size_t>(index)] + ":"
                + std::to_string(internal);
        const char* zones[] { "pkc-a", "pkc-b", "pkc-c", "pkc-d" };
        for (int index = 0; index < size; ++index) {
            Instance instance;
            instance.ip = ips[static_cast<std::size_t>(index)];
            instance.zone = zones[index % 4];
            instance.name = "front-" + instance.zone + "-" + std::to_string(index / 4 + 1);
            instance.front = front;
            instance.ready = ready;
            instance.settings = m_folder + "/" + instance.name + ".ini";
            std::string text = readFile("deploy/settings.ini");
            replace(text, "{{NodeName}}", instance.name);
            replace(text, "{{Region}}", "pk-central");
            replace(text, "{{Zone}}", instance.zone);
            replace(text, "{{Listen.Front}}", instance.ip + ":" + std::to_string(front));
            replace(text, "{{Listen.Ready}}", instance.ip + ":" + std::to_string(ready));
            replace(text, "{{Ip}}", instance.ip);
            replace(text, "{{InternalPorts.0}}", std::to_string(internal));
            replace(text, "{{Platform.Address}}", "127.0.0.1:" + std::to_string(storePort));
            replace(text, "{{Seeds}}", seeds);
            replace(text, "{{Bounds.BudgetRatio}}", "0.2");
            replace(text, "{{Bounds.BudgetWindowS}}", "10");
            replace(text, "{{Bounds.BudgetSlack}}", "58");
            replace(text, "{{Bounds.GraceS}}", "8");
            std::ofstream(instance.settings) << text;
            instances.push_back(instance);
        }
    }

    ~Fleet()
    {
        for (Instance& instance : instances)
            end(instance, SIGKILL);
        std::filesystem::remove_all(m_folder);
    }

    void startAll()
    {
        for (Instance& instance : instances)
            start(instance);
    }

    void start(Instance& instance)
    {
        std::string log = m_folder + "/" + instance.name + ".log";
        instance.pid = fork();
        if (instance.pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // if this program ends early, the instances end with it
        int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execl("target/bin/briarwharfd", "target/bin/briarwharfd", instance.settings.c_str(), nullptr);
        _exit(127);
    }

    // Sends the signal to the process and waits for its end.
    void end(Instance& instance, int signal)
    {
        if (instance.pid <= 0)
            return;
        kill(instance.pid, signal);
        waitpid(instance.pid, nullptr, 0);
        instance.pid = -1;
    }

    bool isReady(const Instance& instance) const
    {
        int socket = connectTo(instance.ip, instance.ready);
        if (socket < 0)
            return false;
        auto deadline = Clock::now() + std::chrono::seconds(1);
        Message answer;
        Reader reader(socket);
        // The deploy file's wire.toml maps the platform's readiness call to this path.
        sendAll(socket, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        bool ready = reader.readHead(answer, deadline) && answer.status() == 200;
        close(socket);
        return ready;
    }

    bool waitReady(double limit) const
    {
        auto deadline = Clock::now()
            + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(limit));
        for (const Instance& instance : instances) {
            while (!isReady(instance)) {
                if (Clock::now() > deadline)
                    return false;
                sleepFor(0.1);
            }
        }
        return true;
    }

    std::vector<Instance> instances;

private:
    static void replace(std::string& text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
    }

    std::string m_folder;
};
